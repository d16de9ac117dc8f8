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

/**
 * The leases that this process wants, and those that it holds by its own clock.
 *
 * <p>Safe for use by many threads: one lock of rank {@link LockRank#LEASES} guards all fields.
 */
final class CampaignTable {
    private static final class Campaign {
        private HeldLease held;
        private long sentNanos = Long.MIN_VALUE;
        private long sequence;
        private boolean underWay;
    }

    private final RankedLock lock = RankedLock.of(LockRank.LEASES);
    private final MonotonicClock clock;
    private final long usableNanos;
    private final TreeMap<LeaseName, Campaign> campaigns = new TreeMap<>();

    CampaignTable(MonotonicClock clock, long usableNanos) {
        this.clock = clock;
        this.usableNanos = usableNanos;
    }

    void want(LeaseName name) {
        lock.run(() -> campaigns.putIfAbsent(name, new Campaign()));
    }

    /** Forgets a lease; returns what was held of it. */
    Optional<HeldLease> leave(LeaseName name) {
        return lock.with(() -> Optional.ofNullable(campaigns.remove(name)).map(campaign -> campaign.held));
    }

    List<LeaseName> wanted() {
        return lock.with(() -> List.copyOf(campaigns.keySet()));
    }

    /** Notes that a record for the lease is about to be sent and returns its number; empty when one is under way. */
    OptionalLong sending(LeaseName name) {
        return lock.with(() -> {
            Campaign campaign = campaigns.get(name);
            boolean stuck = campaign != null && clock.nanos() - campaign.sentNanos > usableNanos;
            if (campaign == null || (campaign.underWay && !stuck)) {
                return OptionalLong.empty();
            }
            campaign.underWay = true;
            campaign.sentNanos = clock.nanos();
            return OptionalLong.of(++campaign.sequence);
        });
    }

    /** Notes that the record of that number was refused. */
    void refused(LeaseName name, long sequence) {
        lock.run(() -> {
            Campaign campaign = campaigns.get(name);
            if (campaign != null && campaign.sequence == sequence) {
                campaign.underWay = false;
            }
        });
    }

    /**
     * Takes a lease that was won or renewed by the last record sent; empty when the lease is no longer wanted, its time
     * has passed, or an earlier record won it, of which the time of sending is not known any more.
     */
    Optional<HeldLease> hold(LeaseName name, long token, long sequence) {
        return lock.with(() -> {
            Campaign campaign = campaigns.get(name);
            if (campaign == null || !campaign.underWay || campaign.sequence != sequence) {
                return Optional.empty();
            }
            campaign.underWay = false;
            HeldLease lease = new HeldLease(name, token, campaign.sentNanos + usableNanos);
            campaign.held = lease.isValid(clock) ? lease : null;
            return Optional.ofNullable(campaign.held);
        });
    }

    /** Returns the lease when it is held and valid. */
    Optional<HeldLease> held(LeaseName name) {
        return lock.with(() -> Optional.ofNullable(campaigns.get(name))
                .map(campaign -> campaign.held)
                .filter(lease -> lease.isValid(clock)));
    }

    /** Takes out the leases whose time has passed, or the given one, and returns their names. */
    List<LeaseName> drop(LeaseName taken) {
        return lock.with(() -> {
            List<LeaseName> dropped = new ArrayList<>();
            campaigns.forEach((name, campaign) -> {
                if (campaign.held != null && (name.equals(taken) || !campaign.held.isValid(clock))) {
                    campaign.held = null;
                    dropped.add(name);
                }
            });
            return dropped;
        });
    }
}
