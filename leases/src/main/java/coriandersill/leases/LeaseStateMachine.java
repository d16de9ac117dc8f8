package coriandersill.leases;

import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The holders of leases, derived from the records of the log in order and from the log's clock.
 *
 * <pre>{@code
 * LeaseStateMachine leases = LeaseStateMachine.of();
 * LeaseRecord record = new LeaseRecord.Acquire(name, holder, Duration.ofSeconds(10), 1);
 * LeaseEffect effect = leases.apply(offset, logTime, record);
 * }</pre>
 *
 * <p>All readers reach the same decisions. An expired lease cannot be renewed, and its next holder has a higher token.
 * A request to acquire a lease that is in force has no effect, even if it comes from the holder. Thread-safe: a lock of
 * rank {@link LockRank#LEASES} guards all fields.
 */
public final class LeaseStateMachine {
    private final RankedLock lock = RankedLock.of(LockRank.LEASES);
    private final Map<LeaseName, Lease> leases = new HashMap<>();
    private long nextOffset = Long.MIN_VALUE;
    private Instant latestTime = Instant.MIN;
    private Instant undecidableUntil = Instant.MIN;

    private LeaseStateMachine() {}

    /** Returns a state machine without any leases. */
    public static LeaseStateMachine of() {
        return new LeaseStateMachine();
    }

    /**
     * Declares that records before {@code time}, by the log's clock, were not applied. Until {@code maxTerm} after that
     * time, an unknown lease may have a holder, so requests to acquire one are refused here.
     */
    public void setHistoryStart(Instant time, Duration maxTerm) {
        lock.run(() -> undecidableUntil = time.plus(maxTerm));
    }

    /**
     * Applies the record at {@code offset}, which the log accepted at {@code time}; an already applied offset is
     * refused.
     */
    public LeaseEffect apply(long offset, Instant time, LeaseRecord record) {
        return lock.with(() -> {
            if (offset < nextOffset) {
                return new LeaseEffect.Refused(record);
            }
            nextOffset = offset + 1;
            latestTime = time.isAfter(latestTime) ? time : latestTime;
            Lease current = leases.get(record.name());
            if (record instanceof LeaseRecord.Acquire acquire) {
                return applyAcquire(offset, acquire, current);
            }
            if (record instanceof LeaseRecord.Renew renew) {
                return applyRenew(renew, current);
            }
            return applyRelease((LeaseRecord.Release) record, current);
        });
    }

    /** Returns the last lease of that name that was not released, whether expired or not. */
    public Optional<Lease> find(LeaseName name) {
        return lock.with(() -> Optional.ofNullable(leases.get(name)));
    }

    /** Returns whether the lease is free at {@code at}, by the log's clock, as far as this reader knows. */
    public boolean isFree(LeaseName name, Instant at) {
        return lock.with(() -> {
            Lease current = leases.get(name);
            return current == null ? !at.isBefore(undecidableUntil) : !at.isBefore(current.expiresAt());
        });
    }

    private LeaseEffect applyAcquire(long offset, LeaseRecord.Acquire acquire, Lease current) {
        if (current != null && latestTime.isBefore(current.expiresAt())) {
            return new LeaseEffect.Refused(acquire);
        }
        Lease lease = new Lease(acquire.name(), acquire.holder(), offset, latestTime.plus(acquire.term()));
        // An undecidable request may have been granted, so the lease counts as held for its term.
        leases.put(acquire.name(), lease);
        boolean decided = current != null || !latestTime.isBefore(undecidableUntil);
        return decided ? new LeaseEffect.Won(lease) : new LeaseEffect.Refused(acquire);
    }

    private LeaseEffect applyRenew(LeaseRecord.Renew renew, Lease current) {
        if (!isHeldBy(current, renew.holder(), renew.token()) || !latestTime.isBefore(current.expiresAt())) {
            return new LeaseEffect.Refused(renew);
        }
        Lease lease = new Lease(renew.name(), renew.holder(), renew.token(), latestTime.plus(renew.term()));
        leases.put(renew.name(), lease);
        return new LeaseEffect.Renewed(lease);
    }

    private LeaseEffect applyRelease(LeaseRecord.Release release, Lease current) {
        if (!isHeldBy(current, release.holder(), release.token())) {
            return new LeaseEffect.Refused(release);
        }
        leases.remove(release.name());
        return new LeaseEffect.Released(current);
    }

    private static boolean isHeldBy(Lease lease, LeaseHolder holder, long token) {
        return lease != null && lease.token() == token && lease.holder().equals(holder);
    }
}
