package coriandersill.catalog;

import coriandersill.core.MonotonicClock;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * The newest catalog that this process has seen, and when it was last known to be the newest.
 *
 * <p>A version that was seen is never replaced by an older one. Safe for use by many threads: guarded by a lock of rank
 * {@link LockRank#CONFIGURATION}.
 */
public final class CatalogTable {
    private final RankedLock lock = RankedLock.of(LockRank.CONFIGURATION);
    private final MonotonicClock clock;
    private Catalog newest;
    private long confirmedAt;

    private CatalogTable(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Returns an empty table. */
    public static CatalogTable create(MonotonicClock clock) {
        return new CatalogTable(clock);
    }

    /** Takes {@code catalog} if its version is newer; returns whether it was taken. */
    public boolean offer(Catalog catalog) {
        return lock.with(() -> {
            if (newest != null && catalog.version() <= newest.version()) {
                return false;
            }
            newest = catalog;
            return true;
        });
    }

    /** Notes that the catalog held was the newest one {@code age} ago. */
    public void confirm(Duration age) {
        lock.run(() -> {
            long when = clock.nanos() - age.toNanos();
            if (confirmedAt == 0 || when - confirmedAt > 0) {
                confirmedAt = when;
            }
        });
    }

    /** Returns the newest catalog seen; empty before the first one. */
    public Optional<Catalog> newest() {
        return lock.with(() -> Optional.ofNullable(newest));
    }

    /** Returns for how long it has not been confirmed that the catalog is the newest one. */
    public Duration age() {
        return lock.with(() -> Duration.ofNanos(clock.nanos() - confirmedAt));
    }
}
