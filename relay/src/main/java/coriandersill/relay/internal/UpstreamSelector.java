package coriandersill.relay.internal;

import coriandersill.catalog.EngineProperties;
import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.relay.RelaySettings;
import coriandersill.rollout.OrderedRollouts;
import coriandersill.routing.CallResult;
import coriandersill.routing.Candidate;
import coriandersill.routing.CandidateInfo;
import coriandersill.routing.EnginePaces;
import coriandersill.routing.FreeSlotPolicy;
import coriandersill.routing.HeldParts;
import coriandersill.routing.LeastExpectedEnd;
import coriandersill.routing.LoadReport;
import coriandersill.routing.OtherEntriesLoad;
import coriandersill.routing.PaceSnapshot;
import coriandersill.routing.ProbeSample;
import coriandersill.routing.RoomPolicy;
import coriandersill.routing.RouteRequest;
import coriandersill.routing.Router;
import coriandersill.routing.RoutingPolicy;
import coriandersill.routing.SlowEngines;
import coriandersill.upstreams.ColdCallLimiter;
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

/** Selects the upstream of a call from those in service, and accounts for the calls in flight at each upstream. */
final class UpstreamSelector {
    /** The version used for all calls, since no rollout splits a service's calls by version here. */
    static final VersionName ANY_VERSION = VersionName.of("any");

    /** The number of engines whose load is requested before a generation is dispatched. */
    private static final int ENGINE_SAMPLE_SIZE = 4;

    /** The number of engines whose load is requested before a generation is moved. */
    private static final int TARGET_SAMPLE_SIZE = 6;

    private final RelaySettings settings;
    private final UpstreamTable upstreams;
    private final Router engineRouter;
    private final PlacementPolicies policies;
    private final Router plainRouter;
    private final ColdCallLimiter coldCallLimiter;
    private final DoubleSupplier ownShare;
    private final EligibleUpstreams eligible;
    private final SlowEngines slowEngines;
    private final EnginePaces paces;
    private final HeldParts heldParts;
    private final RandomGenerator random;

    /** The services for which this entry has received generations. */
    private final Set<ServiceName> engineServices = ConcurrentHashMap.newKeySet();

    UpstreamSelector(
            RelaySettings settings,
            UpstreamTable upstreams,
            Router engineRouter,
            PlacementPolicies policies,
            Router plainRouter,
            ColdCallLimiter coldCallLimiter,
            DoubleSupplier ownShare,
            OrderedRollouts rollouts,
            SlowEngines slowEngines,
            EnginePaces paces,
            HeldParts heldParts,
            RandomGenerator random) {
        this.settings = settings;
        this.upstreams = upstreams;
        this.engineRouter = engineRouter;
        this.policies = policies;
        this.plainRouter = plainRouter;
        this.coldCallLimiter = coldCallLimiter;
        this.ownShare = ownShare;
        this.eligible = new EligibleUpstreams(settings.regionsByZone(), upstreams, rollouts, slowEngines);
        this.slowEngines = slowEngines;
        this.paces = paces;
        this.heldParts = heldParts;
        this.random = random;
    }

    /**
     * A selected upstream.
     *
     * @param upstream the upstream
     * @param request the request under which the router counts the call as in flight
     * @param isEngine whether the upstream is an engine, so that the engine router counts the call
     */
    record Selection(Upstream upstream, RouteRequest request, boolean isEngine) {}

    /** Whether an upstream must have room for a call. */
    enum Room {
        /** The call is sent only to an upstream with room. */
        REQUIRED,
        /** The call may be sent to an upstream where it waits. */
        PREFERRED
    }

    /**
     * Returns a random sample of the engines that could take a generation, to refresh their load before selection.
     * Where differences of pace are known, the engines at which the generation is expected to be on time go first.
     */
    List<Upstream> sampleEngines(CallPlan plan, Set<InstanceId> excluded) {
        List<Upstream> permitted = eligible.ofPreferredVersion(plan, eligible.permitted(plan)).stream()
                .filter(upstream -> !excluded.contains(upstream.instance()))
                .toList();
        PaceSnapshot known = paces.snapshot(plan.service().name());
        if (known.uneven()) {
            List<InstanceId> chosen = ProbeSample.choose(
                    engineRouter.snapshot(candidateInfos(plan, permitted)),
                    CompletionPlacement.demand(plan, plan.promptTokens()),
                    known,
                    ENGINE_SAMPLE_SIZE,
                    random);
            return permitted.stream()
                    .filter(upstream -> chosen.contains(upstream.instance()))
                    .toList();
        }
        List<Upstream> sampled = shuffled(permitted);
        return sampled.subList(0, Math.min(ENGINE_SAMPLE_SIZE, sampled.size()));
    }

    /**
     * Returns a random sample of the engines that a generation could move to, preferring the zone of {@code source}.
     */
    List<Upstream> sampleTargets(CallPlan plan, Upstream source) {
        List<Upstream> sampled = shuffled(eligible.permittedTargets(plan, source));
        sampled.sort(Comparator.comparing(upstream -> !upstream.zone().equals(source.zone())));
        return sampled.subList(0, Math.min(TARGET_SAMPLE_SIZE, sampled.size()));
    }

    private List<Upstream> shuffled(List<Upstream> ordered) {
        List<Upstream> copy = new ArrayList<>(ordered);
        for (int i = copy.size() - 1; i > 0; i--) {
            Collections.swap(copy, i, random.nextInt(i + 1));
        }
        return copy;
    }

    /**
     * Selects an upstream and counts the call as in flight there; empty if no upstream can take the call now.
     *
     * @param preferred engines whose load was just read; the others are considered only if none of these has room
     * @param room whether the upstream must have room for the call
     */
    Optional<Selection> selectUpstream(CallPlan plan, Set<InstanceId> excluded, Set<InstanceId> preferred, Room room) {
        List<Upstream> permitted = eligible.permitted(plan);
        List<Upstream> ofVersion = eligible.ofPreferredVersion(plan, permitted);
        Optional<Selection> selection = selectAmong(ofVersion, plan, excluded, preferred, room);
        boolean mayUseOthers = ofVersion.size() < permitted.size() && eligible.isForTarget(plan);
        return selection.isEmpty() && mayUseOthers
                ? selectAmong(permitted, plan, excluded, preferred, room)
                : selection;
    }

    private Optional<Selection> selectAmong(
            List<Upstream> candidates, CallPlan plan, Set<InstanceId> excluded, Set<InstanceId> preferred, Room room) {
        Set<InstanceId> skipped = new HashSet<>(excluded);
        boolean isEngine = plan.service().engine().isPresent();
        if (isEngine) {
            engineServices.add(plan.service().name());
        }
        while (true) {
            RouteRequest request = routeRequest(plan, skipped);
            Optional<Candidate> candidate = selectCandidate(plan, request, candidates, preferred, room);
            if (candidate.isEmpty()) {
                return Optional.empty();
            }
            InstanceId instance = candidate.get().instance();
            if (tryAcquireIfCold(plan, instance)) {
                if (isEngine) {
                    engineRouter.adjustPendingPromptTokens(instance, plan.promptTokens());
                }
                return candidates.stream()
                        .filter(upstream -> upstream.instance().equals(instance))
                        .findFirst()
                        .map(upstream -> new Selection(upstream, request, isEngine));
            }
            // Releases the reservation that the router made: the call is not sent to this upstream.
            routerFor(isEngine).recordFinished(instance, request, new CallResult(CallResult.Kind.REFUSED, 0, 0, 0));
            skipped.add(instance);
        }
    }

    private Optional<Candidate> selectCandidate(
            CallPlan plan, RouteRequest request, List<Upstream> candidates, Set<InstanceId> preferred, Room room) {
        if (plan.service().engine().isEmpty()) {
            return selectPlain(request, candidateInfos(plan, candidates));
        }
        List<Upstream> recentlyRead = candidates.stream()
                .filter(upstream -> preferred.contains(upstream.instance()))
                .toList();
        boolean recentlyReadHasRoom = engineRouter.snapshot(candidateInfos(plan, recentlyRead)).stream()
                .anyMatch(candidate -> !request.excluded().contains(candidate.instance())
                        && candidate.hasRoomFor(request.predictedTokens()));
        List<CandidateInfo> infos = candidateInfos(plan, recentlyReadHasRoom ? recentlyRead : candidates);
        RoutingPolicy policy = policies.forCall(plan);
        return engineRouter.select(request, infos, room == Room.REQUIRED ? RoomPolicy.of(policy) : policy);
    }

    private Optional<Candidate> selectPlain(RouteRequest request, List<CandidateInfo> infos) {
        PaceSnapshot known = paces.snapshot(request.service());
        return known.uneven()
                ? plainRouter.select(request, infos, LeastExpectedEnd.of(known, random))
                : plainRouter.select(request, infos);
    }

    /**
     * Selects the engine that a generation moves to, and counts the generation as in flight there; empty if none takes
     * it now.
     */
    Optional<Selection> selectTarget(
            CallPlan plan, Upstream source, Set<InstanceId> excluded, TargetCriteria criteria) {
        List<Upstream> targets = eligible.permittedTargets(plan, source).stream()
                .filter(upstream -> !excluded.contains(upstream.instance()))
                .toList();
        RouteRequest request = new RouteRequest(
                plan.service().name(),
                plan.route().name(),
                ANY_VERSION,
                source.zone(),
                0,
                0,
                plan.predictedTokens() + otherEntriesTokensPerTarget(source, targets, criteria),
                excluded);
        RoutingPolicy policy = policies.forMove(plan, criteria);
        List<CandidateInfo> infos = candidateInfos(plan, targets);
        return engineRouter
                .select(request, infos, FreeSlotPolicy.of(policy))
                .or(() -> criteria.mayWait() ? engineRouter.select(request, infos, policy) : Optional.empty())
                .flatMap(candidate -> targets.stream()
                        .filter(upstream -> upstream.instance().equals(candidate.instance()))
                        .findFirst()
                        .map(upstream -> new Selection(upstream, request, true)));
    }

    /** Returns the tokens that other entries' generations will occupy on each target by the time of the move. */
    private static int otherEntriesTokensPerTarget(Upstream source, List<Upstream> targets, TargetCriteria criteria) {
        long count = targets.stream()
                .filter(upstream -> criteria.anyZone() || upstream.zone().equals(source.zone()))
                .count();
        return (int) (criteria.otherEntriesTokens() / Math.max(1, count));
    }

    /** Returns the free memory, in tokens, of the other engines in the availability zone of {@code engine}. */
    long freeTokensInZoneOf(CallPlan plan, Upstream engine) {
        return engineRouter.snapshot(candidateInfos(plan, eligible.othersInZoneOf(plan, engine))).stream()
                .mapToLong(candidate ->
                        candidate.memoryTokens() - candidate.reservedTokens() - candidate.otherEntriesReservedTokens())
                .filter(freeTokens -> freeTokens > 0)
                .sum();
    }

    /**
     * Returns the engines, including those that are leaving, of the services for which this entry has received
     * generations.
     */
    List<Upstream> listedEngines() {
        return upstreams.all().stream()
                .filter(upstream -> engineServices.contains(upstream.service()))
                .toList();
    }

    /** Records the load that a plain upstream states in a response. */
    void recordLoad(Upstream upstream, LoadReport report) {
        plainRouter.recordReport(upstream.instance(), report);
    }

    /**
     * Records the pace of a stream.
     *
     * @param eventNanos the time between events, by {@link coriandersill.routing.PaceWindow}
     * @param longestNanos the longest of the latest times between events
     */
    void recordPace(CallPlan plan, Selection selection, long eventNanos, long longestNanos) {
        Upstream engine = selection.upstream();
        slowEngines.recordPace(plan.service().name(), engine.instance(), eventNanos);
        int batch = engineRouter.inFlight(engine.instance())
                + engineRouter.otherEntriesLoad(engine.instance()).inFlight();
        int tokensPerEvent =
                plan.service().engine().map(EngineProperties::tokensPerEvent).orElse(1);
        paces.recordStep(
                engine.instance(),
                engine.startedAtMillis(),
                new EnginePaces.Step(eventNanos, longestNanos, batch, tokensPerEvent));
    }

    /**
     * Records the pace that an upstream states, in percent of the usual time; returns whether it contradicts what this
     * entry observes there, and did not before.
     */
    boolean recordStatedPace(Upstream upstream, int percent) {
        return paces.recordStated(upstream.instance(), upstream.startedAtMillis(), percent);
    }

    /** Returns the number of this entry's generations in flight at an engine. */
    int inFlight(Upstream engine) {
        return engineRouter.inFlight(engine.instance());
    }

    /** Returns the load that other entries have on an engine, as far as it is known. */
    OtherEntriesLoad otherEntriesLoad(Upstream engine) {
        return engineRouter.otherEntriesLoad(engine.instance());
    }

    /** Records the load that other entries have on an engine. */
    void updateOtherEntriesLoad(Upstream engine, OtherEntriesLoad load) {
        engineRouter.updateOtherEntriesLoad(engine.instance(), load);
        heldParts.recordOtherEntries(engine.instance(), engine.startedAtMillis(), load.reservedTokens());
    }

    /** Records that the engine has prefilled the prompt of a generation, as its first event shows. */
    void recordPromptPrefilled(Selection selection, CallPlan plan) {
        engineRouter.adjustPendingPromptTokens(selection.upstream().instance(), -plan.promptTokens());
    }

    /** Records the result of a call and no longer counts it as in flight. */
    void recordResult(Selection selection, CallResult result) {
        Upstream upstream = selection.upstream();
        routerFor(selection.isEngine()).recordFinished(upstream.instance(), selection.request(), result);
        if (!selection.isEngine() && result.kind() == CallResult.Kind.OK) {
            paces.recordServiceTime(upstream.instance(), upstream.startedAtMillis(), result.firstTokenNanos());
        }
    }

    private Router routerFor(boolean isEngine) {
        return isEngine ? engineRouter : plainRouter;
    }

    /**
     * Returns whether a call to an upstream is allowed; counts it if the upstream is cold and its calls are limited.
     */
    private boolean tryAcquireIfCold(CallPlan plan, InstanceId instance) {
        double perSecond = plan.service().maxColdCallsPerSecond();
        if (perSecond <= 0 || !upstreams.isCold(instance)) {
            return true;
        }
        double limit = perSecond * settings.coldCallFactor() + settings.coldCallMarginPerSecond();
        return coldCallLimiter.tryAcquire(instance, limit * ownShare.getAsDouble());
    }

    private static List<CandidateInfo> candidateInfos(CallPlan plan, List<Upstream> eligible) {
        int memoryTokens =
                plan.service().engine().map(EngineProperties::memoryTokens).orElse(0);
        return eligible.stream()
                .map(upstream -> new CandidateInfo(
                        upstream.instance(), upstream.zone(), ANY_VERSION, Math.max(1, upstream.slots()), memoryTokens))
                .toList();
    }

    private RouteRequest routeRequest(CallPlan plan, Set<InstanceId> excluded) {
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
