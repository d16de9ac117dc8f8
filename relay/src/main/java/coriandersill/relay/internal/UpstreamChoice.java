package coriandersill.relay.internal;

import coriandersill.catalog.EngineRule;
import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.relay.RelaySettings;
import coriandersill.routing.CallResult;
import coriandersill.routing.Candidate;
import coriandersill.routing.CandidateInfo;
import coriandersill.routing.OtherEntriesLoad;
import coriandersill.routing.RouteRequest;
import coriandersill.routing.Router;
import coriandersill.routing.RoutingPolicy;
import coriandersill.upstreams.ColdCallShare;
import coriandersill.upstreams.Upstream;
import coriandersill.upstreams.UpstreamTable;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;

/** Chooses the upstream of a call among those that are in service now, and keeps the books of what is in flight. */
final class UpstreamChoice {
    /** Stands for all versions where no rollout divides a service's calls. */
    static final VersionName ANY_VERSION = VersionName.of("any");

    /** Of so many engines the load is asked before a generation is given to one of them. */
    private static final int SAMPLE = 4;

    /** Of so many engines the load is asked before a generation moves to one. */
    private static final int TARGET_SAMPLE = 6;

    private final RelaySettings settings;
    private final UpstreamTable upstreams;
    private final Router engines;
    private final EnginePolicies policies;
    private final Router plain;
    private final ColdCallShare coldCalls;
    private final DoubleSupplier ownShare;
    private final RandomGenerator random;
    private final Set<ServiceName> engineServices = ConcurrentHashMap.newKeySet();

    UpstreamChoice(
            RelaySettings settings,
            UpstreamTable upstreams,
            Router engines,
            EnginePolicies policies,
            Router plain,
            ColdCallShare coldCalls,
            DoubleSupplier ownShare,
            RandomGenerator random) {
        this.settings = settings;
        this.upstreams = upstreams;
        this.engines = engines;
        this.policies = policies;
        this.plain = plain;
        this.coldCalls = coldCalls;
        this.ownShare = ownShare;
        this.random = random;
    }

    /**
     * How engines are chosen where the router's own policy does not hold.
     *
     * @param soonest for short generations
     * @param targetsNear for generations that move in a hurry
     * @param targetsAnywhere for generations that move with time for copies to another zone
     */
    record EnginePolicies(RoutingPolicy soonest, RoutingPolicy targetsNear, RoutingPolicy targetsAnywhere) {}

    /** A chosen upstream and the request by which the router counts it. */
    record Chosen(Upstream upstream, RouteRequest request, boolean engine) {}

    /** Draws some engines that could take a generation, about which more is to be known before one is chosen. */
    List<Upstream> sample(CallPlan plan, Set<InstanceId> excluded) {
        List<Upstream> possible = shuffled(upstreams.inService(plan.service().name()).stream()
                .filter(upstream -> allowedRegion(plan, upstream))
                .filter(upstream -> !excluded.contains(upstream.instance()))
                .toList());
        return possible.subList(0, Math.min(SAMPLE, possible.size()));
    }

    /** Draws some engines that a generation could move to, those in the zone of {@code source} first. */
    List<Upstream> targetSample(CallPlan plan, Upstream source) {
        List<Upstream> possible = shuffled(upstreams.inService(plan.service().name()).stream()
                .filter(upstream -> allowedRegion(plan, upstream))
                .filter(upstream -> !upstream.instance().equals(source.instance()))
                .toList());
        possible.sort(Comparator.comparing(upstream -> !upstream.zone().equals(source.zone())));
        return possible.subList(0, Math.min(TARGET_SAMPLE, possible.size()));
    }

    private List<Upstream> shuffled(List<Upstream> ordered) {
        List<Upstream> drawn = new ArrayList<>(ordered);
        for (int i = drawn.size() - 1; i > 0; i--) {
            Collections.swap(drawn, i, random.nextInt(i + 1));
        }
        return drawn;
    }

    /**
     * Chooses an upstream and counts the call as in flight there; empty if none takes it now.
     *
     * @param preferred engines whose load was just read; they go before all others while one of them has room
     */
    Optional<Chosen> choose(CallPlan plan, Set<InstanceId> excluded, Set<InstanceId> preferred) {
        List<Upstream> known = upstreams.inService(plan.service().name()).stream()
                .filter(upstream -> allowedRegion(plan, upstream))
                .toList();
        Set<InstanceId> avoided = new HashSet<>(excluded);
        boolean engine = plan.service().engine().isPresent();
        if (engine) {
            engineServices.add(plan.service().name());
        }
        while (true) {
            RouteRequest request = request(plan, avoided);
            Optional<Candidate> candidate = select(plan, request, known, preferred);
            if (candidate.isEmpty()) {
                return Optional.empty();
            }
            InstanceId instance = candidate.get().instance();
            if (coldCallAllowed(plan, instance)) {
                if (engine) {
                    engines.adjustPendingPromptTokens(instance, plan.promptTokens());
                }
                return known.stream()
                        .filter(upstream -> upstream.instance().equals(instance))
                        .findFirst()
                        .map(upstream -> new Chosen(upstream, request, engine));
            }
            router(engine).finished(instance, request, new CallResult(CallResult.Kind.REFUSED, 0, 0, 0));
            avoided.add(instance);
        }
    }

    private Optional<Candidate> select(
            CallPlan plan, RouteRequest request, List<Upstream> known, Set<InstanceId> preferred) {
        if (plan.service().engine().isEmpty()) {
            return plain.select(request, infos(plan, known));
        }
        List<Upstream> wellKnown = known.stream()
                .filter(upstream -> preferred.contains(upstream.instance()))
                .toList();
        boolean room = engines.snapshot(infos(plan, wellKnown)).stream()
                .anyMatch(candidate -> !request.excluded().contains(candidate.instance())
                        && candidate.hasRoomFor(request.predictedTokens()));
        List<CandidateInfo> infos = infos(plan, room ? wellKnown : known);
        return plan.shortGeneration()
                ? engines.select(request, infos, policies.soonest())
                : engines.select(request, infos);
    }

    /** Chooses the engine that a running generation moves to, and counts the generation there. */
    Optional<Chosen> chooseTarget(CallPlan plan, Upstream source, Set<InstanceId> excluded, MoveAim aim) {
        List<Upstream> known = upstreams.inService(plan.service().name()).stream()
                .filter(upstream -> !excluded.contains(upstream.instance()))
                .filter(upstream -> !upstream.instance().equals(source.instance()))
                .filter(upstream -> allowedRegion(plan, upstream))
                .toList();
        RouteRequest request = new RouteRequest(
                plan.service().name(),
                plan.route().name(),
                ANY_VERSION,
                source.zone(),
                0,
                0,
                plan.predictedTokens() + othersShare(source, known, aim),
                excluded);
        RoutingPolicy policy = aim.anyZone() ? policies.targetsAnywhere() : policies.targetsNear();
        return engines.select(request, infos(plan, known), policy).flatMap(candidate -> known.stream()
                .filter(upstream -> upstream.instance().equals(candidate.instance()))
                .findFirst()
                .map(upstream -> new Chosen(upstream, request, true)));
    }

    /** The memory that other entries' generations will have taken at each target by then. */
    private static int othersShare(Upstream source, List<Upstream> known, MoveAim aim) {
        long targets = known.stream()
                .filter(upstream -> aim.anyZone() || upstream.zone().equals(source.zone()))
                .count();
        return (int) (aim.othersTokens() / Math.max(1, targets));
    }

    /** Returns how many tokens the other engines in the availability zone of {@code engine} can take. */
    long roomInZoneOf(CallPlan plan, Upstream engine) {
        List<Upstream> near = upstreams.inService(plan.service().name()).stream()
                .filter(upstream -> upstream.zone().equals(engine.zone()))
                .filter(upstream -> !upstream.instance().equals(engine.instance()))
                .toList();
        return engines.snapshot(infos(plan, near)).stream()
                .mapToLong(candidate ->
                        candidate.memoryTokens() - candidate.reservedTokens() - candidate.otherEntriesReservedTokens())
                .filter(room -> room > 0)
                .sum();
    }

    /** Returns the engines that are listed, those that leave included. */
    List<Upstream> engines() {
        return upstreams.all().stream()
                .filter(upstream -> engineServices.contains(upstream.service()))
                .toList();
    }

    /** Notes what other entries run at an engine. */
    void others(Upstream engine, OtherEntriesLoad load) {
        engines.updateOtherEntriesLoad(engine.instance(), load);
    }

    /** Notes that the first event of a generation has come: its prompt is read. */
    void promptRead(Chosen chosen, CallPlan plan) {
        engines.adjustPendingPromptTokens(chosen.upstream().instance(), -plan.promptTokens());
    }

    /** Notes the end of a call that was chosen. */
    void finished(Chosen chosen, CallResult result) {
        router(chosen.engine()).finished(chosen.upstream().instance(), chosen.request(), result);
    }

    private Router router(boolean engine) {
        return engine ? engines : plain;
    }

    private boolean allowedRegion(CallPlan plan, Upstream upstream) {
        Set<String> regions = plan.route().regions();
        return regions.isEmpty()
                || regions.contains(settings.regions().get(upstream.zone().value()));
    }

    private boolean coldCallAllowed(CallPlan plan, InstanceId instance) {
        double perSecond = plan.service().coldCallsPerSecond();
        if (perSecond <= 0 || !upstreams.cold(instance)) {
            return true;
        }
        double borne = perSecond * settings.coldFactor() + settings.coldExtra();
        return coldCalls.tryCall(instance, borne * ownShare.getAsDouble());
    }

    private static List<CandidateInfo> infos(CallPlan plan, List<Upstream> known) {
        int memory = plan.service().engine().map(EngineRule::memoryTokens).orElse(0);
        return known.stream()
                .map(upstream -> new CandidateInfo(
                        upstream.instance(), upstream.zone(), ANY_VERSION, Math.max(1, upstream.slots()), memory))
                .toList();
    }

    private RouteRequest request(CallPlan plan, Set<InstanceId> excluded) {
        return new RouteRequest(
                plan.service().name(),
                plan.route().name(),
                ANY_VERSION,
                settings.zone(),
                0,
                plan.promptTokens(),
                plan.predictedTokens(),
                excluded);
    }
}
