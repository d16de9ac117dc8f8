package coriandersill.leases;

import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Who holds which lease, folded from the log's order and judged by the log's clock.
 *
 * <pre>{@code
 * LeaseFold fold = LeaseFold.of();
 * LeaseEffect effect = fold.apply(offset, logTime, new LeaseRecord.Acquire(name, holder, Duration.ofSeconds(10)));
 * }</pre>
 *
 * <p>Every reader reaches the same verdict. A lease that has lapsed cannot be renewed, and its next holder has a higher
 * token. A holder asks again while it holds the lease: nothing changes. Safe for use by many threads: one lock of rank
 * {@link LockRank#LEASES} guards all fields.
 */
public final class LeaseStateMachine {
    private final RankedLock lock = RankedLock.of(LockRank.LEASES);
    private final Map<LeaseName, Lease> held = new HashMap<>();
    private long nextOffset = Long.MIN_VALUE;
    private Instant newest = Instant.MIN;
    private Instant unprovenUntil = Instant.MIN;

    private LeaseStateMachine() {}

    /** Returns a fold in which nobody holds a lease. */
    public static LeaseStateMachine of() {
        return new LeaseStateMachine();
    }

    /**
     * Notes that records before the log's {@code time} were not read: until {@code longestTerm} after it an unknown
     * lease may be held, and no claim to one is counted as won here.
     */
    public void setHistoryStart(Instant time, Duration longestTerm) {
        lock.run(() -> unprovenUntil = time.plus(longestTerm));
    }

    /** Folds the record at {@code offset}, which the log took at {@code time}; an offset seen before is refused. */
    public LeaseEffect apply(long offset, Instant time, LeaseRecord record) {
        return lock.with(() -> {
            if (offset < nextOffset) {
                return new LeaseEffect.Refused(record);
            }
            nextOffset = offset + 1;
            newest = time.isAfter(newest) ? time : newest;
            Lease current = held.get(record.name());
            if (record instanceof LeaseRecord.Acquire acquire) {
                return acquire(offset, acquire, current);
            }
            if (record instanceof LeaseRecord.Renew renew) {
                return renew(renew, current);
            }
            return release((LeaseRecord.Release) record, current);
        });
    }

    /** Returns the last lease of that name that was not given back, lapsed or not. */
    public Optional<Lease> find(LeaseName name) {
        return lock.with(() -> Optional.ofNullable(held.get(name)));
    }

    /** Returns whether the lease of that name is free at the log's time {@code at}, as far as this reader knows. */
    public boolean isFree(LeaseName name, Instant at) {
        return lock.with(() -> {
            Lease current = held.get(name);
            return current == null ? !at.isBefore(unprovenUntil) : !at.isBefore(current.expiresAt());
        });
    }

    private LeaseEffect acquire(long offset, LeaseRecord.Acquire acquire, Lease current) {
        if (current != null && newest.isBefore(current.expiresAt())) {
            return new LeaseEffect.Refused(acquire);
        }
        Lease lease = new Lease(acquire.name(), acquire.holder(), offset, newest.plus(acquire.term()));
        held.put(acquire.name(), lease);
        boolean decided = current != null || !newest.isBefore(unprovenUntil);
        return decided ? new LeaseEffect.Won(lease) : new LeaseEffect.Refused(acquire);
    }

    private LeaseEffect renew(LeaseRecord.Renew renew, Lease current) {
        if (!isHeldBy(current, renew.holder(), renew.token()) || !newest.isBefore(current.expiresAt())) {
            return new LeaseEffect.Refused(renew);
        }
        Lease lease = new Lease(renew.name(), renew.holder(), renew.token(), newest.plus(renew.term()));
        held.put(renew.name(), lease);
        return new LeaseEffect.Renewed(lease);
    }

    private LeaseEffect release(LeaseRecord.Release release, Lease current) {
        if (!isHeldBy(current, release.holder(), release.token())) {
            return new LeaseEffect.Refused(release);
        }
        held.remove(release.name());
        return new LeaseEffect.Released(current);
    }

    private static boolean isHeldBy(Lease lease, LeaseHolder holder, long token) {
        return lease != null && lease.token() == token && lease.holder().equals(holder);
    }
}
