package coriandersill.leases.log;

import coriandersill.core.MonotonicClock;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import coriandersill.leases.HeldLease;
import coriandersill.leases.LeaseName;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The leases that this process campaigns for, and those that it holds by its own clock.
 *
 * <p>Thread-safe: a lock of rank {@link LockRank#LEASES} guards all fields.
 */
final class CampaignTable {
    private static final class Campaign {
        private HeldLease heldLease;
        private long lastRecordNanos = Long.MIN_VALUE;
        private long sequence;
        private boolean recordPending;
    }

    private final RankedLock lock = RankedLock.of(LockRank.LEASES);
    private final MonotonicClock clock;
    private final long validityNanos;
    private final TreeMap<LeaseName, Campaign> campaigns = new TreeMap<>();

    CampaignTable(MonotonicClock clock, long validityNanos) {
        this.clock = clock;
        this.validityNanos = validityNanos;
    }

    void add(LeaseName name) {
        lock.run(() -> campaigns.putIfAbsent(name, new Campaign()));
    }

    /** Removes a campaign; returns its lease if one is held. */
    Optional<HeldLease> remove(LeaseName name) {
        return lock.with(() -> Optional.ofNullable(campaigns.remove(name)).map(campaign -> campaign.heldLease));
    }

    List<LeaseName> names() {
        return lock.with(() -> List.copyOf(campaigns.keySet()));
    }

    /**
     * Registers a record to be appended and returns its sequence number. Returns empty if there is no campaign for the
     * lease or an earlier record is still pending and not yet older than the validity of a lease.
     */
    OptionalLong beginRecord(LeaseName name) {
        return lock.with(() -> {
            Campaign campaign = campaigns.get(name);
            boolean timedOut = campaign != null && clock.nanos() - campaign.lastRecordNanos > validityNanos;
            if (campaign == null || (campaign.recordPending && !timedOut)) {
                return OptionalLong.empty();
            }
            campaign.recordPending = true;
            campaign.lastRecordNanos = clock.nanos();
            return OptionalLong.of(++campaign.sequence);
        });
    }

    /** Ends the pending state of the record with that sequence number after it was refused. */
    void onRecordRefused(LeaseName name, long sequence) {
        lock.run(() -> {
            Campaign campaign = campaigns.get(name);
            if (campaign != null && campaign.sequence == sequence) {
                campaign.recordPending = false;
            }
        });
    }

    /**
     * Stores and returns a lease that was acquired or renewed by the last record. Returns empty if there is no campaign
     * for the lease any more, its validity has passed, or the record is not the last one: the time at which an earlier
     * record was appended is no longer known.
     */
    Optional<HeldLease> onLeaseGranted(LeaseName name, long token, long sequence) {
        return lock.with(() -> {
            Campaign campaign = campaigns.get(name);
            if (campaign == null || !campaign.recordPending || campaign.sequence != sequence) {
                return Optional.empty();
            }
            campaign.recordPending = false;
            HeldLease lease = new HeldLease(name, token, campaign.lastRecordNanos + validityNanos);
            campaign.heldLease = lease.isValid(clock) ? lease : null;
            return Optional.ofNullable(campaign.heldLease);
        });
    }

    /** Returns the lease if it is held and valid. */
    Optional<HeldLease> held(LeaseName name) {
        return lock.with(() -> Optional.ofNullable(campaigns.get(name))
                .map(campaign -> campaign.heldLease)
                .filter(lease -> lease.isValid(clock)));
    }

    /** Clears the held leases that are no longer valid; returns their names. */
    List<LeaseName> removeExpired() {
        return removeLost(lease -> !lease.isValid(clock));
    }

    /** Clears the lease {@code takenOver}, if held, and those that are no longer valid; returns their names. */
    List<LeaseName> removeTakenOverAndExpired(LeaseName takenOver) {
        return removeLost(lease -> lease.name().equals(takenOver) || !lease.isValid(clock));
    }

    private List<LeaseName> removeLost(Predicate<HeldLease> condition) {
        return lock.with(() -> {
            List<LeaseName> lost = new ArrayList<>();
            campaigns.forEach((name, campaign) -> {
                if (campaign.heldLease != null && condition.test(campaign.heldLease)) {
                    campaign.heldLease = null;
                    lost.add(name);
                }
            });
            return lost;
        });
    }
}
