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
 * Grants shares of the workspaces' caps to entries; used by the one process that is the home of those workspaces.
 *
 * <p>The outstanding grants never exceed the pool: each grant counts until its term ends, and until then other entries
 * are granted at most the remainder. A new home makes no grants for one term, after which the grants of the previous
 * home have expired, and none once its own lease has expired.
 *
 * <p>Thread-safe: a lock of rank {@link LockRank#QUOTA} guards the grants.
 */
public final class QuotaLedger {
    /** The home counts a grant for 1/50 of the term longer than the entry may use it, to allow for clock drift. */
    private static final int CLOCK_DRIFT_DIVISOR = 50;
    /** Keeps rounding errors of the shares from losing or adding a whole call. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private final RankedLock lock = RankedLock.of(LockRank.QUOTA);
    private final MonotonicClock clock;
    private final CapSplit split;
    private final long fencingToken;
    private final long termNanos;
    private final long gracePeriodNanos;
    /** The time from which this home makes grants; those of the previous home have expired by then. */
    private final long firstGrantNanos;

    private final Map<WorkspaceName, Map<InstanceId, Holding>> holdings = new HashMap<>();
    private Map<WorkspaceName, QuotaAmount> pools = Map.of();
    private long leaseExpiryNanos;

    private QuotaLedger(MonotonicClock clock, CapSplit split, long fencingToken, Duration term, Duration gracePeriod) {
        this.clock = clock;
        this.split = split;
        this.fencingToken = fencingToken;
        this.termNanos = term.toNanos();
        this.gracePeriodNanos = gracePeriod.toNanos();
        long now = clock.nanos();
        this.firstGrantNanos = now + accountedTermNanos();
        this.leaseExpiryNanos = now;
    }

    /**
     * Returns the ledger for a new home.
     *
     * @param fencingToken the fencing token of the home's lease, higher than that of every previous home
     * @param term how long a grant is valid
     * @param gracePeriod how long the calls of an entry that no longer sends demands are counted after its last grant
     *     expired. With at least the duration of the longest call, the cap holds during a network partition; with zero,
     *     the calls are no longer counted once the grant expires.
     */
    public static QuotaLedger open(
            MonotonicClock clock, CapSplit split, long fencingToken, Duration term, Duration gracePeriod) {
        return new QuotaLedger(clock, split, fencingToken, term, gracePeriod);
    }

    /** Replaces the pools: for each workspace, its cap minus the floors of all regions. */
    public void setPools(Map<WorkspaceName, QuotaAmount> values) {
        lock.run(() -> {
            pools = Map.copyOf(values);
            holdings.keySet().retainAll(pools.keySet());
        });
    }

    /** Sets the time, by the local monotonic clock, at which this process stops being the home. */
    public void setLeaseExpiry(long nanos) {
        lock.run(() -> leaseExpiryNanos = nanos);
    }

    /** Answers a demand; the grant replaces the current grant of the entry. */
    public QuotaGrant grant(QuotaDemand demand) {
        return lock.with(() -> {
            long now = clock.nanos();
            QuotaAmount pool = pools.get(demand.workspace());
            boolean mayGrant = now - firstGrantNanos >= 0 && now - leaseExpiryNanos < 0;
            QuotaAmount amount = mayGrant && pool != null ? amountFor(demand, pool, now) : QuotaAmount.NONE;
            return new QuotaGrant(demand.workspace(), amount, fencingToken, mayGrant ? termNanos : 0);
        });
    }

    /** Returns the part of the workspace's pool that all entries hold now. */
    public QuotaAmount outstanding(WorkspaceName workspace) {
        return lock.with(() -> heldByAllExcept(null, holdings.getOrDefault(workspace, Map.of())));
    }

    private QuotaAmount amountFor(QuotaDemand demand, QuotaAmount pool, long now) {
        Map<InstanceId, Holding> entries =
                holdings.computeIfAbsent(demand.workspace(), unused -> new LinkedHashMap<>());
        entries.values().removeIf(holding -> now - holding.expiryNanos >= 0);
        Holding holding = entries.computeIfAbsent(demand.entry(), unused -> new Holding());
        holding.requested = demand.requested().max(new QuotaAmount(demand.running(), 0));
        holding.expiryNanos = now + accountedTermNanos();
        QuotaAmount entitled = entitlement(entries, demand.entry(), pool);
        QuotaAmount free = pool.minus(heldByAllExcept(demand.entry(), entries));
        QuotaAmount granted = entitled.min(free);
        holding.recordGrant(granted, demand.running(), now);
        return granted;
    }

    private QuotaAmount entitlement(Map<InstanceId, Holding> entries, InstanceId requester, QuotaAmount pool) {
        double[] calls = new double[entries.size()];
        double[] rates = new double[entries.size()];
        int requesterIndex = 0;
        int i = 0;
        for (Map.Entry<InstanceId, Holding> entry : entries.entrySet()) {
            QuotaAmount demanded = entry.getKey().equals(requester)
                    ? entry.getValue().requested
                    : entry.getValue().effectiveDemand(clock.nanos());
            calls[i] = demanded.concurrency();
            rates[i] = demanded.tokensPerSecond();
            requesterIndex = entry.getKey().equals(requester) ? i : requesterIndex;
            i++;
        }
        int[] whole = toWholeCalls(split.split(pool.concurrency(), calls));
        return new QuotaAmount(whole[requesterIndex], split.split(pool.tokensPerSecond(), rates)[requesterIndex]);
    }

    /**
     * Rounds the shares down and gives each remaining whole call to one of the first entries whose share was rounded.
     */
    private static int[] toWholeCalls(double[] shares) {
        int[] whole = new int[shares.length];
        double remainder = 0;
        for (int i = 0; i < shares.length; i++) {
            whole[i] = (int) Math.floor(shares[i] + ROUNDING_TOLERANCE);
            remainder += shares[i] - whole[i];
        }
        int extra = (int) Math.floor(remainder + ROUNDING_TOLERANCE);
        for (int i = 0; i < shares.length && extra > 0; i++) {
            if (shares[i] - whole[i] > ROUNDING_TOLERANCE) {
                whole[i]++;
                extra--;
            }
        }
        return whole;
    }

    /** Returns the amount that all entries except {@code excluded} hold now; null excludes none. */
    private QuotaAmount heldByAllExcept(InstanceId excluded, Map<InstanceId, Holding> entries) {
        long now = clock.nanos();
        QuotaAmount sum = QuotaAmount.NONE;
        for (Map.Entry<InstanceId, Holding> entry : entries.entrySet()) {
            if (!entry.getKey().equals(excluded)) {
                sum = sum.plus(entry.getValue().heldAmount(now));
            }
        }
        return sum;
    }

    private long accountedTermNanos() {
        return termNanos + termNanos / CLOCK_DRIFT_DIVISOR;
    }

    /** The grants and reported calls of one entry. */
    private final class Holding {
        /**
         * The unexpired grants, oldest first. All of them count, because the answer with the latest grant may be lost.
         */
        private final Deque<Grant> grants = new ArrayDeque<>();

        private QuotaAmount requested = QuotaAmount.NONE;
        /** The running calls that the entry last reported; they count even if its current grant does not cover them. */
        private int running;
        /** When this entry stops counting unless it sends another demand. */
        private long expiryNanos;

        private void recordGrant(QuotaAmount amount, int runningNow, long now) {
            running = runningNow;
            grants.removeIf(grant -> now - grant.expiryNanos() >= 0);
            grants.addLast(new Grant(amount, now + accountedTermNanos()));
            expiryNanos = now + accountedTermNanos() + gracePeriodNanos;
        }

        /** During the grace period, all calls that the last grant allowed may still be running, so they count. */
        private QuotaAmount heldAmount(long now) {
            if (now - expiryNanos >= 0) {
                return QuotaAmount.NONE;
            }
            QuotaAmount held = new QuotaAmount(running, 0);
            for (Grant grant : grants) {
                QuotaAmount amount = grant.amount();
                boolean valid = now - grant.expiryNanos() < 0;
                held = held.max(valid ? amount : new QuotaAmount(amount.concurrency(), 0));
            }
            return held;
        }

        /**
         * Returns the demand to count while another entry's share is computed: the requested amount, but once the
         * latest grant has expired only the amount still held, because the entry may have stopped.
         */
        private QuotaAmount effectiveDemand(long now) {
            boolean expired = grants.isEmpty() || now - grants.getLast().expiryNanos() >= 0;
            return expired && !grants.isEmpty() ? heldAmount(now) : requested;
        }
    }

    private record Grant(QuotaAmount amount, long expiryNanos) {}
}
