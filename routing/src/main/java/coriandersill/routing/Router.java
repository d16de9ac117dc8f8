package coriandersill.routing;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.MonotonicClock;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import coriandersill.routing.internal.InstanceTable;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses upstreams for the calls of one entry and tracks the load that the choice depends on.
 *
 * <pre>{@code
 * Router router = Router.builder(clock, random).build();
 * Optional<Candidate> choice = router.select(request, infos);
 * ...
 * router.recordFinished(choice.get().instance(), request, CallResult.ok(firstToken, betweenTokens, tokens));
 * }</pre>
 *
 * <p>Each selected call counts as in flight until {@link #recordFinished} is called for it. The entry's own counts are
 * authoritative; load reports, which are delayed, only add the calls of other entries. Upstreams recovering from an
 * ejection and availability zones that are back in service get a gradually growing share of the traffic. Thread-safe:
 * the tables are guarded by one lock of rank {@link LockRank#ROUTING}.
 */
public final class Router {
    private final RankedLock lock = RankedLock.of(LockRank.ROUTING);
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final RoutingPolicy policy;
    private final OutlierDetector detector;
    private final ZoneRamp zoneRamp;
    private final InstanceTable instances;

    Router(RouterBuilder builder) {
        this.clock = builder.clock;
        this.random = builder.random;
        this.policy = builder.policy();
        this.detector = builder.detector;
        this.zoneRamp = ZoneRamp.of(builder.zoneRampTime, builder.initialZoneShare);
        this.instances = new InstanceTable(builder.reportLifetime.toNanos());
    }

    /** Returns a builder with the standard policies; rejects null. */
    public static RouterBuilder builder(MonotonicClock clock, RandomGenerator random) {
        return new RouterBuilder(Objects.requireNonNull(clock, "clock"), Objects.requireNonNull(random, "random"));
    }

    /**
     * Chooses one of {@code infos} and counts the call as in flight there.
     *
     * @return the choice, or empty if the policy chooses none, for example because every instance of the version is out
     *     of service or excluded
     */
    public Optional<Candidate> select(RouteRequest request, Collection<CandidateInfo> infos) {
        return select(request, infos, policy);
    }

    /** Chooses like {@link #select(RouteRequest, Collection)}, but by the given policy. */
    public Optional<Candidate> select(
            RouteRequest request, Collection<CandidateInfo> infos, RoutingPolicy policyOverride) {
        return lock.with(() -> {
            Optional<Candidate> choice = choose(request, infos, policyOverride, clock.nanos());
            choice.ifPresent(candidate -> instances.reserve(candidate.instance(), request.predictedTokens()));
            return choice;
        });
    }

    /** Records the end of a call that was selected with {@code request}; unknown instances are ignored. */
    public void recordFinished(InstanceId instance, RouteRequest request, CallResult result) {
        lock.run(() -> {
            if (instances.release(instance, request.predictedTokens())) {
                detector.record(instance, request, result, clock.nanos());
            }
        });
    }

    /** Records a load report. */
    public void recordReport(InstanceId instance, LoadReport report) {
        lock.run(() -> instances.recordReport(instance, report, clock.nanos()));
    }

    /**
     * Records the load of other entries at an instance. It counts in full until the report lifetime is over; after
     * that, no load of other entries is assumed. Load reports of the instance are no longer used.
     */
    public void updateOtherEntriesLoad(InstanceId instance, OtherEntriesLoad load) {
        lock.run(() -> instances.updateOtherEntriesLoad(instance, load, clock.nanos()));
    }

    /** Returns the last recorded load of other entries at an instance that is not older than the report lifetime. */
    public OtherEntriesLoad otherEntriesLoad(InstanceId instance) {
        return lock.with(() -> instances.otherEntriesLoad(instance, clock.nanos()));
    }

    /**
     * Adds {@code tokens} prompt tokens that an instance has yet to prefill; a negative value removes tokens that it
     * has prefilled.
     */
    public void adjustPendingPromptTokens(InstanceId instance, int tokens) {
        lock.run(() -> instances.adjustPendingPromptTokens(instance, tokens));
    }

    /** Counts a call as in flight at an instance chosen by other means, such as the target of a move. */
    public void reserve(InstanceId instance, int tokens) {
        lock.run(() -> instances.reserve(instance, tokens));
    }

    /** Returns the current load of each of {@code infos} without choosing one. */
    public List<Candidate> snapshot(Collection<CandidateInfo> infos) {
        return lock.with(() -> {
            long nowNanos = clock.nanos();
            return infos.stream()
                    .map(info -> instances.candidate(info, nowNanos))
                    .toList();
        });
    }

    /** Discards the state of an instance that has left; calls that end there later are ignored. */
    public void removeInstance(InstanceId instance) {
        lock.run(() -> {
            instances.remove(instance);
            detector.removeInstance(instance);
        });
    }

    /** Sets whether an availability zone is in service; a zone that returns gets a gradually growing share. */
    public void setZoneInService(AvailabilityZone zone, boolean inService) {
        lock.run(() -> zoneRamp.setInService(zone, inService, clock.nanos()));
    }

    /** Returns the number of this entry's calls in flight at {@code instance}. */
    public int inFlight(InstanceId instance) {
        return lock.with(() -> instances.inFlight(instance));
    }

    private Optional<Candidate> choose(
            RouteRequest request, Collection<CandidateInfo> infos, RoutingPolicy effectivePolicy, long nowNanos) {
        Map<InstanceId, Double> reducedShares = detector.reducedShares(request, nowNanos);
        List<Candidate> fullShare = new ArrayList<>(infos.size());
        if (reducedShares.isEmpty() && zoneRamp.allAtFullShare()) {
            for (CandidateInfo info : infos) {
                fullShare.add(instances.candidate(info, nowNanos));
            }
            return effectivePolicy.choose(request, fullShare);
        }
        // The key is the instance if it has a reduced share itself, otherwise its zone.
        Map<Object, RecoveringGroup> recovering = new LinkedHashMap<>();
        List<Candidate> ejected = new ArrayList<>();
        for (CandidateInfo info : infos) {
            Candidate candidate = instances.candidate(info, nowNanos);
            double zoneShare = zoneRamp.share(info.zone(), nowNanos);
            double share = reducedShares.getOrDefault(info.instance(), 1.0);
            if (!candidate.isEligibleFor(request) || zoneShare == 0) {
                continue;
            }
            if (share == 0) {
                ejected.add(candidate);
            } else if (share < 1 || zoneShare < 1) {
                Object group = share < 1 ? info.instance() : info.zone();
                recovering
                        .computeIfAbsent(group, key -> new RecoveringGroup(share * zoneShare, new ArrayList<>()))
                        .candidates()
                        .add(candidate);
            } else {
                fullShare.add(candidate);
            }
        }
        return chooseByShare(request, fullShare, List.copyOf(recovering.values()), ejected, effectivePolicy);
    }

    /**
     * Chooses a recovering group with a probability of its fraction of all candidates that are not ejected, multiplied
     * by its reduced share. Otherwise chooses among the candidates with a full share, or if there are none, among all
     * recovering ones, or if there are none either, among the ejected ones.
     */
    private Optional<Candidate> chooseByShare(
            RouteRequest request,
            List<Candidate> fullShare,
            List<RecoveringGroup> recovering,
            List<Candidate> ejected,
            RoutingPolicy effectivePolicy) {
        int total = fullShare.size();
        for (RecoveringGroup group : recovering) {
            total += group.candidates().size();
        }
        double draw = random.nextDouble();
        for (RecoveringGroup group : recovering) {
            draw -= group.share() * group.candidates().size() / total;
            if (draw < 0) {
                return effectivePolicy.choose(request, group.candidates());
            }
        }
        if (!fullShare.isEmpty()) {
            return effectivePolicy.choose(request, fullShare);
        }
        List<Candidate> allRecovering = new ArrayList<>();
        recovering.forEach(group -> allRecovering.addAll(group.candidates()));
        return effectivePolicy.choose(request, allRecovering.isEmpty() ? ejected : allRecovering);
    }

    /** Candidates with the same reduced traffic share. */
    private record RecoveringGroup(double share, List<Candidate> candidates) {}
}
