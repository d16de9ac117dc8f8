package coriandersill.routing.internal;

import coriandersill.core.InstanceId;
import coriandersill.routing.CallResult;
import coriandersill.routing.OutlierSettings;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** The upstreams of one version on one route, which are compared with each other to detect outliers. */
public final class PeerGroup {
    /** The maximum number of doublings of the ejection time, which keeps the shift from overflowing. */
    private static final int MAX_EJECTION_SHIFT = 16;

    private final OutlierSettings settings;
    private final Map<InstanceId, Health> members = new HashMap<>();

    /** An upper bound of the number of members with a reduced share; if it is 0, none has to be searched for. */
    private int reducedCount;

    /** Creates an empty group. */
    public PeerGroup(OutlierSettings settings) {
        this.settings = settings;
    }

    /**
     * Records a call and ejects its upstream if that has become an outlier and the maximum number of ejected ones is
     * not reached. Calls that end while their upstream is ejected are not recorded.
     */
    public void record(InstanceId instance, CallResult result, long nowNanos) {
        Health health = members.computeIfAbsent(instance, id -> new Health());
        if (isEjected(health, nowNanos)) {
            return;
        }
        health.record(result, nowNanos, settings.halfLife().toNanos());
        if (isOutlier(instance, health) && mayEject(nowNanos)) {
            eject(health, nowNanos);
        }
    }

    /** Returns the members with a reduced share; see {@link coriandersill.routing.OutlierDetector#reducedShares}. */
    public Map<InstanceId, Double> reducedShares(long nowNanos) {
        if (reducedCount == 0) {
            return Map.of();
        }
        Map<InstanceId, Double> shares = new HashMap<>();
        reducedCount = 0;
        for (Map.Entry<InstanceId, Health> member : members.entrySet()) {
            double share = share(member.getValue(), nowNanos);
            if (share < 1) {
                shares.put(member.getKey(), share);
                reducedCount++;
            }
        }
        return shares;
    }

    /** Removes a member. */
    public void remove(InstanceId instance) {
        members.remove(instance);
    }

    /** Returns whether the group has no members. */
    public boolean isEmpty() {
        return members.isEmpty();
    }

    private double share(Health health, long nowNanos) {
        if (health.ejectedUntilNanos == null) {
            return 1;
        }
        long sinceEjectionEndNanos = nowNanos - health.ejectedUntilNanos;
        if (sinceEjectionEndNanos < 0) {
            return 0;
        }
        long recoveryNanos = settings.recoveryTime().toNanos();
        if (sinceEjectionEndNanos < recoveryNanos) {
            return settings.initialRecoveryShare()
                    + (1 - settings.initialRecoveryShare()) * sinceEjectionEndNanos / recoveryNanos;
        }
        // An upstream not ejected again for ten recovery times starts over with the initial ejection time.
        if (sinceEjectionEndNanos > 10 * recoveryNanos) {
            health.ejectedUntilNanos = null;
            health.ejections = 0;
        }
        return 1;
    }

    private boolean isOutlier(InstanceId instance, Health health) {
        boolean previouslyEjected = health.ejections > 0;
        // An upstream that was ejected before is judged after half as many calls.
        double requiredCalls = previouslyEjected ? Math.max(1, settings.minCalls() / 2) : settings.minCalls();
        if (health.calls() < requiredCalls) {
            return false;
        }
        return health.failureRate() > medianOfPeers(instance, Health::failureRate, 0) + settings.errorMargin()
                || isSlow(instance, health, Health::meanFirstTokenNanos)
                || isSlow(instance, health, Health::meanBetweenTokensNanos);
    }

    private boolean isSlow(InstanceId instance, Health health, ToDoubleFunction<Health> latency) {
        double median = medianOfPeers(instance, latency, Double.POSITIVE_INFINITY);
        return latency.applyAsDouble(health) > settings.latencyFactor() * median;
    }

    private double medianOfPeers(InstanceId instance, ToDoubleFunction<Health> metric, double defaultValue) {
        double[] values = members.entrySet().stream()
                .filter(member -> !member.getKey().equals(instance))
                .filter(member -> member.getValue().calls() >= settings.minCalls() / 2)
                .mapToDouble(member -> metric.applyAsDouble(member.getValue()))
                .sorted()
                .toArray();
        return values.length == 0 ? defaultValue : values[values.length / 2];
    }

    private boolean mayEject(long nowNanos) {
        long ejected = members.values().stream()
                .filter(health -> isEjected(health, nowNanos))
                .count();
        int maxEjected = Math.max(1, (int) (settings.maxEjectedFraction() * members.size()));
        return ejected < Math.min(maxEjected, members.size() - 1);
    }

    private void eject(Health health, long nowNanos) {
        long ejectionNanos = settings.initialEjectionTime().toNanos() << Math.min(health.ejections, MAX_EJECTION_SHIFT);
        health.ejectedUntilNanos =
                nowNanos + Math.min(ejectionNanos, settings.maxEjectionTime().toNanos());
        health.ejections++;
        health.resetStatistics();
        reducedCount++;
    }

    private static boolean isEjected(Health health, long nowNanos) {
        return health.ejectedUntilNanos != null && nowNanos < health.ejectedUntilNanos;
    }
}
