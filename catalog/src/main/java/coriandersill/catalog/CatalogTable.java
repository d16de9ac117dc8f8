package coriandersill.catalog;

import coriandersill.core.MonotonicClock;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * The newest catalog that this process has received, and when it was last confirmed to be the newest.
 *
 * <p>A catalog is never replaced by an older version. Thread-safe: guarded by a lock of rank
 * {@link LockRank#CONFIGURATION}.
 */
public final class CatalogTable {
    private final RankedLock lock = RankedLock.of(LockRank.CONFIGURATION);
    private final MonotonicClock clock;
    private Catalog newest;

    /** When the catalog was last confirmed to be the newest; 0 until the first confirmation. */
    private long confirmedAtNanos;

    private CatalogTable(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Returns an empty table. */
    public static CatalogTable create(MonotonicClock clock) {
        return new CatalogTable(clock);
    }

    /** Replaces the current catalog if {@code catalog} has a newer version; returns whether it was replaced. */
    public boolean offer(Catalog catalog) {
        return lock.with(() -> {
            if (newest != null && catalog.version() <= newest.version()) {
                return false;
            }
            newest = catalog;
            return true;
        });
    }

    /** Records that the current catalog was the newest one {@code age} ago. */
    public void confirm(Duration age) {
        lock.run(() -> {
            long newConfirmedAtNanos = clock.nanos() - age.toNanos();
            if (confirmedAtNanos == 0 || newConfirmedAtNanos - confirmedAtNanos > 0) {
                confirmedAtNanos = newConfirmedAtNanos;
            }
        });
    }

    /** Returns the newest catalog; empty before the first one. */
    public Optional<Catalog> newest() {
        return lock.with(() -> Optional.ofNullable(newest));
    }

    /**
     * Returns the time since the catalog was last confirmed to be the newest one; meaningless before the first
     * confirmation.
     */
    public Duration age() {
        return lock.with(() -> Duration.ofNanos(clock.nanos() - confirmedAtNanos));
    }
}
