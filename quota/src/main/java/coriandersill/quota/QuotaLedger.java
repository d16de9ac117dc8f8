package coriandersill.quota;

import coriandersill.core.InstanceId;
import coriandersill.core.MonotonicClock;
import coriandersill.core.WorkspaceName;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Grants slices of the caps to entries, at the one process that is the home of their workspaces.
 *
 * <p>The amounts that entries hold under grants never exceed the pool: a slice that an entry has is counted until its
 * term is over, and what others want beyond the rest waits for that. A new home grants nothing for one term, by when
 * the grants of the one before it have lapsed, and none after its own lease.
 *
 * <p>Safe for use by many threads; its lock of rank {@link LockRank#QUOTA} guards the grants.
 */
public final class QuotaLedger {
    /** How much longer the home counts a grant than the entry may use it, for clocks that run at unlike speed. */
    private static final int DRIFT_DIVISOR = 50;

    private final RankedLock lock = RankedLock.of(LockRank.QUOTA);
    private final MonotonicClock clock;
    private final CapSplit split;
    private final long fencingToken;
    private final long termNanos;
    private final long lingerNanos;
    private final long grantsFromNanos;
    private final Map<WorkspaceName, Map<InstanceId, Holding>> holdings = new HashMap<>();
    private Map<WorkspaceName, QuotaAmount> pools = Map.of();
    private long leaseUntilNanos;

    private QuotaLedger(MonotonicClock clock, CapSplit split, long fencingToken, Duration term, Duration linger) {
        this.clock = clock;
        this.split = split;
        this.fencingToken = fencingToken;
        this.termNanos = term.toNanos();
        this.lingerNanos = linger.toNanos();
        long now = clock.nanos();
        this.grantsFromNanos = now + countedNanos();
        this.leaseUntilNanos = now;
    }

    /**
     * Returns the ledger of a new home.
     *
     * @param fencingToken the token of its lease, larger than that of every home before it
     * @param term how long a grant is valid
     * @param linger how long the calls of an entry that no longer asks stay counted after its grant; at least the
     *     longest call keeps the sum exact through a partition, zero frees them at once
     */
    public static QuotaLedger open(
            MonotonicClock clock, CapSplit split, long fencingToken, Duration term, Duration linger) {
        return new QuotaLedger(clock, split, fencingToken, term, linger);
    }

    /** Replaces the pools: for each workspace its cap without the floors of all regions. */
    public void setPools(Map<WorkspaceName, QuotaAmount> values) {
        lock.run(() -> {
            pools = Map.copyOf(values);
            holdings.keySet().retainAll(pools.keySet());
        });
    }

    /** Notes that this process is the home until {@code nanos}, by its own monotonic clock. */
    public void setLeaseExpiry(long nanos) {
        lock.run(() -> leaseUntilNanos = nanos);
    }

    /** Answers one demand; the grant replaces the one that the entry has. */
    public QuotaGrant grant(QuotaDemand demand) {
        return lock.with(() -> {
            long now = clock.nanos();
            QuotaAmount pool = pools.get(demand.workspace());
            boolean open = now - grantsFromNanos >= 0 && now - leaseUntilNanos < 0;
            QuotaAmount amount = open && pool != null ? amountFor(demand, pool, now) : QuotaAmount.NONE;
            return new QuotaGrant(demand.workspace(), amount, fencingToken, open ? termNanos : 0);
        });
    }

    /** Returns the sum of what entries hold of the workspace's pool now. */
    public QuotaAmount outstanding(WorkspaceName workspace) {
        return lock.with(() -> heldByOthers(holdings.getOrDefault(workspace, Map.of()), null));
    }

    private QuotaAmount amountFor(QuotaDemand demand, QuotaAmount pool, long now) {
        Map<InstanceId, Holding> entries =
                holdings.computeIfAbsent(demand.workspace(), unused -> new LinkedHashMap<>());
        entries.values().removeIf(holding -> now - holding.goneNanos >= 0);
        Holding holding = entries.computeIfAbsent(demand.entry(), unused -> new Holding());
        holding.wanted = demand.requested().max(new QuotaAmount(demand.running(), 0));
        holding.goneNanos = now + countedNanos();
        QuotaAmount entitled = entitlement(entries, demand.entry(), pool);
        QuotaAmount free = pool.minus(heldByOthers(entries, demand.entry()));
        QuotaAmount granted = entitled.min(free);
        holding.hold(granted, demand.running(), now);
        return granted;
    }

    private QuotaAmount entitlement(Map<InstanceId, Holding> entries, InstanceId asking, QuotaAmount pool) {
        double[] calls = new double[entries.size()];
        double[] rates = new double[entries.size()];
        int own = 0;
        int i = 0;
        for (Map.Entry<InstanceId, Holding> entry : entries.entrySet()) {
            QuotaAmount demanded = entry.getKey().equals(asking)
                    ? entry.getValue().wanted
                    : entry.getValue().demanded(clock.nanos());
            calls[i] = demanded.concurrency();
            rates[i] = demanded.tokensPerSecond();
            own = entry.getKey().equals(asking) ? i : own;
            i++;
        }
        int[] whole = whole(split.split(pool.concurrency(), calls));
        return new QuotaAmount(whole[own], split.split(pool.tokensPerSecond(), rates)[own]);
    }

    /** Rounds down and gives the calls that this leaves to the first entries that lost a part of one. */
    private static int[] whole(double[] parts) {
        int[] whole = new int[parts.length];
        double lost = 0;
        for (int i = 0; i < parts.length; i++) {
            whole[i] = (int) Math.floor(parts[i] + 1e-9);
            lost += parts[i] - whole[i];
        }
        int extra = (int) Math.floor(lost + 1e-9);
        for (int i = 0; i < parts.length && extra > 0; i++) {
            if (parts[i] - whole[i] > 1e-9) {
                whole[i]++;
                extra--;
            }
        }
        return whole;
    }

    private QuotaAmount heldByOthers(Map<InstanceId, Holding> entries, InstanceId asking) {
        long now = clock.nanos();
        QuotaAmount sum = QuotaAmount.NONE;
        for (Map.Entry<InstanceId, Holding> entry : entries.entrySet()) {
            if (!entry.getKey().equals(asking)) {
                sum = sum.plus(entry.getValue().held(now));
            }
        }
        return sum;
    }

    private long countedNanos() {
        return termNanos + termNanos / DRIFT_DIVISOR;
    }

    /** What one entry holds. */
    private final class Holding {
        /** The grants whose term is not over, the oldest first: an answer may be lost, so all of them count. */
        private final Deque<Grant> grants = new ArrayDeque<>();

        private QuotaAmount wanted = QuotaAmount.NONE;
        /** Calls that the entry last reported; they count although the grant may no longer cover them. */
        private int running;
        /** When this entry counts for nothing, unless it asks again. */
        private long goneNanos;

        private void hold(QuotaAmount amount, int runningNow, long now) {
            running = runningNow;
            grants.removeIf(grant -> now - grant.untilNanos() >= 0);
            grants.addLast(new Grant(amount, now + countedNanos()));
            goneNanos = now + countedNanos() + lingerNanos;
        }

        /** While the entry lingers, its last grant may be in full use by calls that have not ended. */
        private QuotaAmount held(long now) {
            if (now - goneNanos >= 0) {
                return QuotaAmount.NONE;
            }
            QuotaAmount held = new QuotaAmount(running, 0);
            for (Grant grant : grants) {
                QuotaAmount amount = grant.amount();
                boolean valid = now - grant.untilNanos() < 0;
                held = held.max(valid ? amount : new QuotaAmount(amount.concurrency(), 0));
            }
            return held;
        }

        private QuotaAmount demanded(long now) {
            boolean lapsed = grants.isEmpty() || now - grants.getLast().untilNanos() >= 0;
            return lapsed && !grants.isEmpty() ? held(now) : wanted;
        }
    }

    private record Grant(QuotaAmount amount, long untilNanos) {}
}
