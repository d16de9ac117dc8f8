package coriandersill.relay.internal;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.ServiceName;
import coriandersill.rollout.OrderedRollouts;
import coriandersill.rollout.TrafficSplit;
import coriandersill.routing.SlowEngines;
import coriandersill.upstreams.Upstream;
import coriandersill.upstreams.UpstreamTable;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Determines which upstreams may serve a call, whatever their load. Thread-safe. */
final class EligibleUpstreams {
    private final Map<String, String> regionsByZone;
    private final UpstreamTable upstreams;
    private final OrderedRollouts rollouts;
    private final SlowEngines slowEngines;

    /**
     * Creates the rules.
     *
     * @param regionsByZone the region of each availability zone, by the zone's name
     */
    EligibleUpstreams(
            Map<String, String> regionsByZone,
            UpstreamTable upstreams,
            OrderedRollouts rollouts,
            SlowEngines slowEngines) {
        this.regionsByZone = regionsByZone;
        this.upstreams = upstreams;
        this.rollouts = rollouts;
        this.slowEngines = slowEngines;
    }

    /** Returns the upstreams that may serve a call. */
    List<Upstream> permitted(CallPlan plan) {
        ServiceName service = plan.service().name();
        List<Upstream> permitted = upstreams.inService(service).stream()
                .filter(upstream -> isInAllowedRegion(plan, upstream) && rollouts.permits(service, upstream.version()))
                .toList();
        return slowEngines.withoutSlow(permitted, Upstream::instance);
    }

    /** Returns those of the version that a rollout selects for the call, or all if there is none of that version. */
    List<Upstream> ofPreferredVersion(CallPlan plan, List<Upstream> permitted) {
        long hash = TrafficSplit.hashOf(plan.request().id());
        List<Upstream> preferred = permitted.stream()
                .filter(upstream -> rollouts.prefers(plan.service().name(), upstream.version(), hash))
                .toList();
        return preferred.isEmpty() ? permitted : preferred;
    }

    /** Returns whether a rollout selects its target for the call; the others must not overflow to the target. */
    boolean isForTarget(CallPlan plan) {
        long hash = TrafficSplit.hashOf(plan.request().id());
        return rollouts.of(plan.service().name())
                .filter(rollout -> rollout.selectsTarget(hash))
                .isPresent();
    }

    /** Returns the engines to which a generation may move from {@code source}. */
    List<Upstream> permittedTargets(CallPlan plan, Upstream source) {
        List<Upstream> permitted = upstreams.inService(plan.service().name()).stream()
                .filter(upstream -> !upstream.instance().equals(source.instance()))
                .filter(upstream -> isInAllowedRegion(plan, upstream) && permitsMove(plan, source, upstream))
                .toList();
        return slowEngines.withoutSlow(permitted, Upstream::instance);
    }

    /** Returns the other engines of the service in the availability zone of {@code engine}. */
    List<Upstream> othersInZoneOf(CallPlan plan, Upstream engine) {
        AvailabilityZone zone = engine.zone();
        return upstreams.inService(plan.service().name()).stream()
                .filter(upstream -> upstream.zone().equals(zone))
                .filter(upstream -> !upstream.instance().equals(engine.instance()))
                .toList();
    }

    private boolean permitsMove(CallPlan plan, Upstream source, Upstream target) {
        return rollouts.permitsMove(plan.service().name(), source.version(), target.version());
    }

    private boolean isInAllowedRegion(CallPlan plan, Upstream upstream) {
        Set<String> regions = plan.route().regions();
        return regions.isEmpty()
                || regions.contains(regionsByZone.get(upstream.zone().value()));
    }
}
