package coriandersill.rollout.log;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.ManualClock;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.events.EventCode;
import coriandersill.rollout.CallSample;
import coriandersill.rollout.RegressionCriteria;
import coriandersill.rollout.RolloutId;
import coriandersill.rollout.RolloutPhase;
import coriandersill.rollout.RolloutPlan;
import coriandersill.rollout.RolloutState;
import coriandersill.rollout.TrafficSplit;
import coriandersill.sharedlog.ManualScheduler;
import coriandersill.standins.platform.InMemoryLog;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

/** Simulates several entries with traffic over one log in virtual time. */
final class SimulatedEntries {
    static final ServiceName SERVICE = ServiceName.of("scribe");
    static final VersionName V2 = VersionName.of("v2");
    private static final VersionName V1 = VersionName.of("v1");
    private static final RouteName ROUTE = RouteName.of("chat");
    private static final int CALLS_PER_SECOND = 60;
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final ManualScheduler scheduler = ManualScheduler.of(clock);
    private final InMemoryLog log = InMemoryLog.of(clock);
    private final List<InstanceId> names = new ArrayList<>();
    private final List<RolloutService> services = new ArrayList<>();
    private final Map<InstanceId, Long> fencingTokens = new HashMap<>();
    private final List<RolloutState> reportedStates = new ArrayList<>();
    private final Random random = new Random(20);
    private double newVersionFailureRate = 0.02;
    private long newVersionCalls;
    private long fencedCount;
    private int maxMessageBytes;

    static SimulatedEntries of(int count) {
        SimulatedEntries entries = new SimulatedEntries();
        for (int i = 0; i < count; i++) {
            entries.names.add(InstanceId.of("entry-" + i));
        }
        entries.names.forEach(entries::start);
        return entries;
    }

    private void start(InstanceId name) {
        RolloutService service = RolloutService.builder(name, 1, log, scheduler)
                .clock(clock)
                .random(new Random(7))
                .leases(lease -> fencingTokens.containsKey(name)
                        ? OptionalLong.of(fencingTokens.get(name))
                        : OptionalLong.empty())
                .peers(new InProcessPeers())
                .listener(reportedStates::add)
                .events((code, details) -> fencedCount += code == EventCode.ORDER_FENCED ? 1 : 0)
                .build();
        services.add(service);
        service.start();
    }

    RolloutId declare(long declarationPosition, Duration timeToDeadline) {
        RolloutId id = new RolloutId(SERVICE, declarationPosition);
        RolloutPlan plan = new RolloutPlan(
                id,
                V1,
                V2,
                clock.instant(),
                clock.instant().plus(timeToDeadline),
                0.05,
                Duration.ofMinutes(5),
                new RegressionCriteria(3, 2, 2));
        services.forEach(service -> service.declare(plan, Set.of(ROUTE)));
        return id;
    }

    /** Grants the lease of the service to the collector with the given index. */
    void grantLease(int collectorIndex, long token) {
        List<InstanceId> collectors = names.stream()
                .filter(name -> services.get(names.indexOf(name)).isCollector(SERVICE))
                .toList();
        fencingTokens.put(collectors.get(collectorIndex), token);
    }

    void run(Duration duration) {
        for (long second = 0; second < duration.toSeconds(); second++) {
            services.forEach(this::sendCalls);
            scheduler.advance(SECOND);
        }
    }

    void runUntilAnyEntryStops(Duration timeout) {
        for (long second = 0; second < timeout.toSeconds(); second++) {
            if (services.stream().anyMatch(service -> service.isStopped(SERVICE, V2))) {
                return;
            }
            run(SECOND);
        }
        throw new AssertionError("no entry stopped the version within " + timeout);
    }

    void setNewVersionFailureRate(double rate) {
        newVersionFailureRate = rate;
    }

    void withdraw(RolloutId id) {
        services.forEach(service -> service.withdraw(id));
    }

    InMemoryLog log() {
        return log;
    }

    RolloutService service(int index) {
        return services.get(index);
    }

    long newVersionCalls() {
        return newVersionCalls;
    }

    long fencedCount() {
        return fencedCount;
    }

    int maxMessageBytes() {
        return maxMessageBytes;
    }

    List<Double> shares() {
        return services.stream()
                .map(service -> service.newVersionShare(SERVICE))
                .toList();
    }

    List<RolloutPhase> finalPhases(RolloutId id) {
        return services.stream()
                .map(service -> service.finalState(id).getNow(null))
                .map(state -> state == null ? null : state.phase())
                .toList();
    }

    List<RolloutState> terminalStates() {
        return reportedStates.stream()
                .filter(state -> state.phase().isTerminal())
                .toList();
    }

    List<Long> appliedFencingTokens() {
        return reportedStates.stream().map(RolloutState::fencingToken).toList();
    }

    boolean appliedFencingTokensAscend() {
        List<Long> applied = appliedFencingTokens();
        return applied.equals(applied.stream().sorted().toList());
    }

    private void sendCalls(RolloutService service) {
        for (int i = 0; i < CALLS_PER_SECOND; i++) {
            long hash = TrafficSplit.hashOf("prefix-" + random.nextInt(100_000));
            VersionName version = service.versionFor(SERVICE, hash).orElse(V1);
            boolean isNew = version.equals(V2);
            newVersionCalls += isNew ? 1 : 0;
            boolean failed = random.nextDouble() < (isNew ? newVersionFailureRate : 0.02);
            long firstTokenNanos = (long) (400e6 * Math.exp(0.5 * random.nextGaussian()));
            long betweenTokensNanos = (long) (35e6 * Math.exp(0.25 * random.nextGaussian()));
            service.record(new CallSample(
                    SERVICE,
                    version,
                    ROUTE,
                    AvailabilityZone.of("zone-a"),
                    failed,
                    firstTokenNanos,
                    betweenTokensNanos));
        }
    }

    private final class InProcessPeers implements RolloutPeers {
        @Override
        public Collection<InstanceId> entries() {
            return names;
        }

        @Override
        public void send(InstanceId to, byte[] message) {
            maxMessageBytes = Math.max(maxMessageBytes, message.length);
            services.get(names.indexOf(to)).accept(message);
        }
    }
}
