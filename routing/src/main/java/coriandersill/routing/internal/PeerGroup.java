package coriandersill.routing.internal;

import coriandersill.core.InstanceId;
import coriandersill.routing.CallResult;
import coriandersill.routing.OutlierSettings;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Upstreams of one version on one route, compared with each other. */
public final class PeerGroup {
    private static final int LARGEST_DOUBLING = 16;

    private final OutlierSettings settings;
    private final Map<InstanceId, Health> members = new HashMap<>();
    private int reduced;

    /** Creates a group without members. */
    public PeerGroup(OutlierSettings settings) {
        this.settings = settings;
    }

    /** Notes a call and ejects its upstream if that now stands out. */
    public void record(InstanceId instance, CallResult result, long now) {
        Health health = members.computeIfAbsent(instance, id -> new Health());
        if (ejected(health, now)) {
            return;
        }
        health.record(result, now, settings.halfLife().toNanos());
        if (standsOut(instance, health) && mayEject(now)) {
            eject(health, now);
        }
    }

    /** Returns the members that take less than their usual share; see {@link coriandersill.routing.OutlierDetector}. */
    public Map<InstanceId, Double> reducedShares(long now) {
        if (reduced == 0) {
            return Map.of();
        }
        Map<InstanceId, Double> shares = new HashMap<>();
        reduced = 0;
        for (Map.Entry<InstanceId, Health> member : members.entrySet()) {
            double share = share(member.getValue(), now);
            if (share < 1) {
                shares.put(member.getKey(), share);
                reduced++;
            }
        }
        return shares;
    }

    /** Forgets a member. */
    public void forget(InstanceId instance) {
        members.remove(instance);
    }

    /** Whether no member is left. */
    public boolean isEmpty() {
        return members.isEmpty();
    }

    private double share(Health health, long now) {
        if (health.ejectedUntil == null) {
            return 1;
        }
        long back = now - health.ejectedUntil;
        if (back < 0) {
            return 0;
        }
        long returnNanos = settings.recoveryTime().toNanos();
        if (back < returnNanos) {
            return settings.initialRecoveryShare() + (1 - settings.initialRecoveryShare()) * back / returnNanos;
        }
        if (back > 10 * returnNanos) {
            health.ejectedUntil = null;
            health.ejections = 0;
        }
        return 1;
    }

    private boolean standsOut(InstanceId instance, Health health) {
        boolean returning = health.ejections > 0;
        double needed = returning ? Math.max(1, settings.minCalls() / 2) : settings.minCalls();
        if (health.calls() < needed) {
            return false;
        }
        return health.failureRate() > medianOfPeers(instance, Health::failureRate, 0) + settings.errorMargin()
                || slow(instance, health, Health::firstToken)
                || slow(instance, health, Health::betweenTokens);
    }

    private boolean slow(InstanceId instance, Health health, ToDoubleFunction<Health> latency) {
        double median = medianOfPeers(instance, latency, Double.POSITIVE_INFINITY);
        return latency.applyAsDouble(health) > settings.latencyFactor() * median;
    }

    private double medianOfPeers(InstanceId instance, ToDoubleFunction<Health> measure, double withoutPeers) {
        double[] values = members.entrySet().stream()
                .filter(member -> !member.getKey().equals(instance))
                .filter(member -> member.getValue().calls() >= settings.minCalls() / 2)
                .mapToDouble(member -> measure.applyAsDouble(member.getValue()))
                .sorted()
                .toArray();
        return values.length == 0 ? withoutPeers : values[values.length / 2];
    }

    private boolean mayEject(long now) {
        long ejected =
                members.values().stream().filter(health -> ejected(health, now)).count();
        int most = Math.max(1, (int) (settings.maxEjectedFraction() * members.size()));
        return ejected < Math.min(most, members.size() - 1);
    }

    private void eject(Health health, long now) {
        long length = settings.initialEjectionTime().toNanos() << Math.min(health.ejections, LARGEST_DOUBLING);
        health.ejectedUntil = now + Math.min(length, settings.maxEjectionTime().toNanos());
        health.ejections++;
        health.clearCalls();
        reduced++;
    }

    private static boolean ejected(Health health, long now) {
        return health.ejectedUntil != null && now < health.ejectedUntil;
    }
}
