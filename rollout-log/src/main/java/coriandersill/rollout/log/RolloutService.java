package coriandersill.rollout.log;

import com.fasterxml.jackson.databind.JsonNode;
import coriandersill.core.InstanceId;
import coriandersill.core.ManagedService;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.events.EventCode;
import coriandersill.events.LoopGuard;
import coriandersill.rollout.CallSample;
import coriandersill.rollout.EvidenceCollectors;
import coriandersill.rollout.EvidenceTable;
import coriandersill.rollout.JudgeSettings;
import coriandersill.rollout.RolloutId;
import coriandersill.rollout.RolloutPlan;
import coriandersill.rollout.RolloutState;
import coriandersill.rollout.RolloutStateMachine;
import coriandersill.rollout.RolloutTransition;
import coriandersill.rollout.RolloutVerdict;
import coriandersill.rollout.StoppedRollouts;
import coriandersill.rollout.TrafficSplit;
import coriandersill.sharedlog.LogFollower;
import coriandersill.sharedlog.LogNotice;
import coriandersill.sharedlog.LogRecord;
import coriandersill.sharedlog.PlatformLog;
import coriandersill.sharedlog.Scheduler;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Runs the rollouts of one process: follows their states on the log, collects and judges evidence, advances rollouts
 * while it holds the lease, and stops a bad version at once, even if the log is unreachable.
 *
 * <pre>{@code
 * RolloutService rollouts = RolloutService.builder(self, startedAtMillis, log, scheduler)
 *         .leases(leases).peers(peers).conditions(conditions).events(events).build();
 * rollouts.start();
 * rollouts.declare(plan, routes);
 * Optional<VersionName> version = rollouts.versionFor(service, TrafficSplit.hashOf(affinityKey));
 * rollouts.record(sample);
 * }</pre>
 *
 * <p>Every entry records the calls it makes and sends its counts once per window to the two collectors of the service
 * ({@link EvidenceCollectors}). Only a collector should contend for the lease of a rollout ({@link #leaseName}); see
 * {@link #isCollector}. The process that finds a verdict sends it to every entry at once; every process should also
 * send its {@link #verdictMessage} to the other entries periodically. Sidecars ignore rollout messages and must not
 * record samples, or calls would be counted twice.
 *
 * <p>Thread-safe. Listeners, peers and the log are called without holding a lock.
 */
public final class RolloutService implements ManagedService {
    /** The log stream that holds the records of rollouts. */
    public static final String STREAM = "rollouts";

    private static final Duration TICK_INTERVAL = Duration.ofSeconds(1);

    /** The time without a tick from which rollouts count as stalled. */
    private static final Duration STALL_BOUND = Duration.ofSeconds(10);

    /** The source of a verdict by which an operator withdraws a rollout; it is not a process. */
    private static final InstanceId OPERATOR = InstanceId.of("operator");

    private final RolloutServiceBuilder settings;
    private final RolloutRegistry registry = new RolloutRegistry();
    private final StoppedRollouts stoppedRollouts = StoppedRollouts.create();
    private final EvidenceTable evidence;
    private final EvidenceExchange exchange;
    private final RolloutDriver driver;
    private final LoopGuard guard;
    private final LogFollower follower;
    private final Map<ServiceName, TrafficSplit> splits = new ConcurrentHashMap<>();
    /** Whether a tick is running; a tick that becomes due meanwhile is skipped. */
    private final AtomicBoolean ticking = new AtomicBoolean();

    private volatile boolean running;

    RolloutService(RolloutServiceBuilder settings) {
        this.settings = settings;
        this.evidence = EvidenceTable.of(settings.self, settings.incarnation, settings.clock);
        this.exchange = new EvidenceExchange(settings, evidence, stoppedRollouts);
        this.follower = LogFollower.builder(settings.log, STREAM, settings.scheduler)
                .executor(settings.executor)
                .handler(this::onRecord)
                .notices(this::onLogNotice)
                .guard(settings.loops.register("reads of rollouts", LogFollower.STALL_BOUND))
                .build();
        this.guard = settings.loops.register("evaluation of rollouts", STALL_BOUND);
        this.driver = new RolloutDriver(settings, registry, stoppedRollouts, exchange, follower);
    }

    /** Returns a builder; {@code incarnation} distinguishes this process from earlier ones of the same name. */
    public static RolloutServiceBuilder builder(
            InstanceId self, long incarnation, PlatformLog log, Scheduler scheduler) {
        return new RolloutServiceBuilder(self, incarnation, log, scheduler);
    }

    /** Returns the name of the lease that is required to advance the rollouts of a service. */
    public static String leaseName(ServiceName service) {
        return "rollout:" + service;
    }

    /** Starts following the log and processing rollouts. The future completes immediately; see {@link #caughtUp}. */
    @Override
    public CompletableFuture<Void> start() {
        running = true;
        scheduleTick();
        return follower.start();
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        running = false;
        guard.rest();
        return follower.stop(grace);
    }

    /** Completes when the records that were in the log at the start have been read. */
    public CompletableFuture<Void> caughtUp() {
        return follower.caughtUp();
    }

    /**
     * Adds a rollout whose declaration was accepted; a known one, or one older than the newest of its service, is
     * ignored. A second rollout of a service waits until the first is decided.
     */
    public void declare(RolloutPlan plan, Set<RouteName> routes) {
        long windows = Math.max(1, plan.duration().dividedBy(EvidenceTable.WINDOW));
        JudgeSettings judgeSettings = new JudgeSettings(plan.criteria(), routes, settings.falseAlarmRate, windows);
        TrackedRollout rollout =
                new TrackedRollout(plan, settings.judgeFactory.create(judgeSettings), evidence.currentWindow() - 1);
        if (registry.add(rollout)) {
            updateSplit(plan.id().service());
        }
    }

    /**
     * Withdraws a declaration on behalf of an operator. An undecided rollout is rolled back; a decided one is removed
     * from this process, so that the current version of the service serves again.
     */
    public void withdraw(RolloutId id) {
        if (registry.state(id).filter(state -> state.phase().isTerminal()).isPresent()) {
            registry.remove(id);
            splits.computeIfPresent(id.service(), (service, split) -> registry.current(service)
                    .map(this::splitFor)
                    .orElse(null));
        } else {
            applyVerdict(new RolloutVerdict(id, OPERATOR, settings.clock.millis(), "withdrawn by the operator"));
        }
    }

    /** Records a call made by this entry. */
    public void record(CallSample sample) {
        evidence.record(sample);
    }

    /**
     * Returns the version for a request with the given hash of its affinity key ({@link TrafficSplit#hashOf}); empty if
     * no rollout of the service is known, in which case its current version serves.
     */
    public Optional<VersionName> versionFor(ServiceName service, long requestHash) {
        return Optional.ofNullable(splits.get(service)).map(split -> split.versionFor(requestHash));
    }

    /** Returns the share of the new version, from 0 to 1; 0 if no rollout of the service is known. */
    public double newVersionShare(ServiceName service) {
        TrafficSplit split = splits.get(service);
        return split == null ? 0 : split.share();
    }

    /**
     * Whether {@code version} is the new version of the current rollout of the service and this process has stopped its
     * traffic because of a verdict.
     */
    public boolean isStopped(ServiceName service, VersionName version) {
        return registry.current(service)
                .filter(rollout -> rollout.plan().to().equals(version))
                .flatMap(rollout -> stoppedRollouts.verdictFor(rollout.plan().id()))
                .isPresent();
    }

    /** Returns the status of the current rollout of a service. */
    public Optional<RolloutStatus> status(ServiceName service) {
        return registry.current(service)
                .map(rollout -> new RolloutStatus(
                        rollout.plan(),
                        registry.state(rollout.plan().id()),
                        stoppedRollouts.verdictFor(rollout.plan().id()),
                        rollout.judgement(),
                        rollout.decisionReason()));
    }

    /** Returns a future of the final state according to the log, with the phase {@code DONE} or {@code ROLLED_BACK}. */
    public CompletableFuture<RolloutState> finalState(RolloutId id) {
        return registry.finalState(id).copy();
    }

    /** Whether this process collects the evidence about a service and should contend for its lease. */
    public boolean isCollector(ServiceName service) {
        return exchange.isCollector(service);
    }

    /** Returns the verdicts known to this process as a message to be sent periodically; empty if there are none. */
    public Optional<byte[]> verdictMessage() {
        return exchange.verdictMessage();
    }

    /**
     * Processes a message of a peer; unknown fields, such as those of a later version, are ignored.
     *
     * @throws coriandersill.core.CallFailure of kind {@code INVALID_REQUEST} if it is not a valid rollout message
     */
    public void accept(byte[] message) {
        RolloutCodec.decode(message, node -> {
            node.path("evidence").forEach(exchange::acceptEvidence);
            node.path("verdicts").forEach(this::acceptVerdict);
            return node;
        });
    }

    private void acceptVerdict(JsonNode node) {
        applyVerdict(RolloutCodec.toVerdict(node));
    }

    private void applyVerdict(RolloutVerdict verdict) {
        if (stoppedRollouts.accept(verdict)) {
            updateSplit(verdict.id().service());
            settings.events.record(
                    EventCode.VERSION_STOPPED,
                    Map.of(
                            "service", verdict.id().service(),
                            "rollout", verdict.id().declarationPosition(),
                            "source", verdict.source(),
                            "evidence", verdict.reason()));
            if (verdict.source().equals(settings.self)) {
                exchange.broadcastVerdicts();
            }
        }
    }

    private void onRecord(LogRecord record) {
        RolloutTransition transition = RolloutCodec.decodeTransition(record.data());
        RolloutStateMachine.Outcome outcome = registry.apply(record.offset(), record.time(), transition);
        if (outcome == RolloutStateMachine.Outcome.FENCED) {
            settings.events.record(
                    EventCode.ORDER_FENCED,
                    Map.of("service", transition.id().service(), "source", transition.source()));
        }
        if (outcome == RolloutStateMachine.Outcome.APPLIED) {
            onApplied(transition);
        }
    }

    private void onApplied(RolloutTransition transition) {
        RolloutId id = transition.id();
        updateSplit(id.service());
        settings.events.record(
                EventCode.ROLLOUT_CHANGED,
                Map.of(
                        "service", id.service(),
                        "rollout", id.declarationPosition(),
                        "phase", transition.phase(),
                        "share", transition.share(),
                        "source", transition.source(),
                        "evidence", transition.reason()));
        Optional<RolloutState> state = registry.state(id);
        state.ifPresent(settings.listener);
        state.filter(known -> known.phase().isTerminal()).ifPresent(finalState -> registry.removeFinalStateFuture(id)
                .ifPresent(future -> future.complete(finalState)));
    }

    private void onLogNotice(LogNotice notice) {
        if (notice instanceof LogNotice.Restarted) {
            registry.resetOffsets();
            registry.active().forEach(TrackedRollout::clearPendingRecord);
        }
    }

    private void updateSplit(ServiceName service) {
        splits.compute(
                service,
                (name, previous) -> registry.current(name).map(this::splitFor).orElse(previous));
    }

    private TrafficSplit splitFor(TrackedRollout rollout) {
        RolloutPlan plan = rollout.plan();
        boolean stopped = stoppedRollouts.verdictFor(plan.id()).isPresent();
        double share =
                stopped ? 0 : registry.state(plan.id()).map(RolloutState::share).orElse(0.0);
        return TrafficSplit.of(plan.from(), plan.to(), share);
    }

    private void scheduleTick() {
        settings.scheduler.schedule(TICK_INTERVAL, () -> {
            if (running) {
                scheduleTick();
                settings.executor.execute(this::tick);
            }
        });
    }

    /** Judges the closed windows, appends the records that are due and reports to the collectors. */
    private void tick() {
        if (!ticking.compareAndSet(false, true)) {
            return;
        }
        try {
            guard.runPeriodic(this::evaluateAll);
        } finally {
            ticking.set(false);
        }
    }

    private void evaluateAll() {
        guard.forEach(registry.active(), rollout -> {
            driver.judge(rollout, evidence).ifPresent(this::applyVerdict);
            driver.advance(rollout);
        });
        exchange.reportToCollectors(registry.active());
    }
}
