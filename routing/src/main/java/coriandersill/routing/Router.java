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
 * Chooses upstreams for the calls of one entry and keeps what the choice depends on.
 *
 * <pre>{@code
 * Router router = Router.builder(clock, random).build();
 * Optional<Candidate> choice = router.select(request, candidates);
 * ...
 * router.finished(choice.get().instance(), request, CallResult.ok(firstToken, betweenTokens, tokens));
 * }</pre>
 *
 * <p>Each selection counts as in flight until {@link #finished} is called for it. Own counts come first; load reports,
 * which lag, only add what other entries have in flight. Upstreams that a detector finds out of line, and availability
 * zones that have come back, get a share that grows. Safe for use by many threads: its tables are guarded by one lock
 * of rank {@link LockRank#ROUTING}.
 */
public final class Router {
    private final RankedLock lock = RankedLock.of(LockRank.ROUTING);
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final RoutingPolicy policy;
    private final OutlierDetector detector;
    private final ZoneRamp zones;
    private final InstanceTable instances;

    Router(RouterBuilder builder) {
        this.clock = builder.clock;
        this.random = builder.random;
        this.policy = builder.policy();
        this.detector = builder.detector;
        this.zones = ZoneRamp.of(builder.zoneRamp, builder.firstZoneShare);
        this.instances = new InstanceTable(builder.reportLifetime.toNanos());
    }

    /** Returns a builder with the standard policies; null is refused. */
    public static RouterBuilder builder(MonotonicClock clock, RandomGenerator random) {
        return new RouterBuilder(Objects.requireNonNull(clock, "clock"), Objects.requireNonNull(random, "random"));
    }

    /**
     * Chooses one of {@code known} and counts the call as in flight there.
     *
     * @return the choice, or nothing when no instance of the version is left that is in service and untried
     */
    public Optional<Candidate> select(RouteRequest request, Collection<CandidateInfo> known) {
        return select(request, known, policy);
    }

    /** Chooses like {@link #select(RouteRequest, Collection)}, by another policy than the router's own. */
    public Optional<Candidate> select(
            RouteRequest request, Collection<CandidateInfo> known, RoutingPolicy otherPolicy) {
        return lock.with(() -> {
            Optional<Candidate> choice = choose(request, known, otherPolicy, clock.nanos());
            choice.ifPresent(candidate -> instances.reserve(candidate.instance(), request.predictedTokens()));
            return choice;
        });
    }

    /** Notes the end of a call that was selected with {@code request}; unknown instances are ignored. */
    public void finished(InstanceId instance, RouteRequest request, CallResult result) {
        lock.run(() -> {
            if (instances.release(instance, request.predictedTokens())) {
                detector.record(instance, request, result, clock.nanos());
            }
        });
    }

    /** Notes a load report. */
    public void report(InstanceId instance, LoadReport report) {
        lock.run(() -> instances.report(instance, report, clock.nanos()));
    }

    /** Notes what other entries have in flight at an instance; it goes before what load reports say of them. */
    public void updateOtherEntriesLoad(InstanceId instance, OtherEntriesLoad load) {
        lock.run(() -> instances.others(instance, load, clock.nanos()));
    }

    /** Notes that {@code tokens} of a prompt are to be read by an instance, or have been read where negative. */
    public void adjustPendingPromptTokens(InstanceId instance, int tokens) {
        lock.run(() -> instances.unreadPrompt(instance, tokens));
    }

    /** Counts a call as in flight at an instance that was chosen by other means, such as the target of a move. */
    public void reserve(InstanceId instance, int tokens) {
        lock.run(() -> instances.reserve(instance, tokens));
    }

    /** Returns how each of {@code known} looks now, without choosing. */
    public List<Candidate> snapshot(Collection<CandidateInfo> known) {
        return lock.with(() -> {
            long now = clock.nanos();
            return known.stream().map(info -> instances.candidate(info, now)).toList();
        });
    }

    /** Forgets an instance that has left; calls that still end there are ignored. */
    public void removeInstance(InstanceId instance) {
        lock.run(() -> {
            instances.forget(instance);
            detector.removeInstance(instance);
        });
    }

    /** Notes whether an availability zone is in service; one that was out gets a share that grows. */
    public void setZoneInService(AvailabilityZone zone, boolean inService) {
        lock.run(() -> zones.inService(zone, inService, clock.nanos()));
    }

    /** Returns this entry's calls in flight at {@code instance}. */
    public int inFlight(InstanceId instance) {
        return lock.with(() -> instances.inFlight(instance));
    }

    private Optional<Candidate> choose(
            RouteRequest request, Collection<CandidateInfo> known, RoutingPolicy chooser, long now) {
        Map<InstanceId, Double> reduced = detector.reducedShares(request, now);
        List<Candidate> usual = new ArrayList<>(known.size());
        if (reduced.isEmpty() && zones.isIdle()) {
            for (CandidateInfo info : known) {
                usual.add(instances.candidate(info, now));
            }
            return chooser.choose(request, usual);
        }
        Map<Object, Recovering> recovering = new LinkedHashMap<>();
        List<Candidate> ejected = new ArrayList<>();
        for (CandidateInfo info : known) {
            Candidate candidate = instances.candidate(info, now);
            double zoneShare = zones.share(info.zone(), now);
            double share = reduced.getOrDefault(info.instance(), 1.0);
            if (!candidate.suits(request) || zoneShare == 0) {
                continue;
            }
            if (share == 0) {
                ejected.add(candidate);
            } else if (share < 1 || zoneShare < 1) {
                Object group = share < 1 ? info.instance() : info.zone();
                recovering
                        .computeIfAbsent(group, key -> new Recovering(share * zoneShare, new ArrayList<>()))
                        .candidates()
                        .add(candidate);
            } else {
                usual.add(candidate);
            }
        }
        return chooseByShare(request, usual, List.copyOf(recovering.values()), ejected, chooser);
    }

    /** Gives each recovering group its part of its usual share, and what is left to the others. */
    private Optional<Candidate> chooseByShare(
            RouteRequest request,
            List<Candidate> usual,
            List<Recovering> recovering,
            List<Candidate> ejected,
            RoutingPolicy chooser) {
        int total = usual.size();
        for (Recovering group : recovering) {
            total += group.candidates().size();
        }
        double draw = random.nextDouble();
        for (Recovering group : recovering) {
            draw -= group.share() * group.candidates().size() / total;
            if (draw < 0) {
                return chooser.choose(request, group.candidates());
            }
        }
        if (!usual.isEmpty()) {
            return chooser.choose(request, usual);
        }
        List<Candidate> rest = new ArrayList<>();
        recovering.forEach(group -> rest.addAll(group.candidates()));
        return chooser.choose(request, rest.isEmpty() ? ejected : rest);
    }

    /** Candidates that share one reduced share. */
    private record Recovering(double share, List<Candidate> candidates) {}
}
