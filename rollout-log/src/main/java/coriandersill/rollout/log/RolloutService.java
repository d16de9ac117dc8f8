package coriandersill.rollout.log;

import com.fasterxml.jackson.databind.JsonNode;
import coriandersill.core.InstanceId;
import coriandersill.core.ManagedService;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.events.EventCode;
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
 * Runs the rollouts of one process: follows their states on the log, gathers and judges evidence, takes the next steps
 * while it holds the lease, and stops a bad version at once, with or without the log.
 *
 * <pre>{@code
 * RolloutService rollouts = RolloutService.builder(self, startedAtMillis, log, scheduler)
 *         .leases(leases).peers(peers).surroundings(surroundings).events(events).build();
 * rollouts.start();
 * rollouts.declare(plan, routes);
 * Optional<VersionName> version = rollouts.versionFor(service, TrafficSplit.hashOf(affinityKey));
 * rollouts.record(sample);
 * }</pre>
 *
 * <p>Every entry records the calls it made and sends its counts once a window to the two collectors of the service
 * ({@link EvidenceCollectors}); the lease of a rollout, {@link #leaseName}, is meant for one of them, see
 * {@link #collects}. Verdicts go to every entry when they are found, and {@link #verdictMessage} belongs on each
 * heartbeat, to sidecars as well. Sidecars record no samples, or calls would count twice.
 *
 * <p>Safe for use by many threads. Listeners, peers and the log are called without a lock.
 */
public final class RolloutService implements ManagedService {
    /** The stream of the log that holds the records. */
    public static final String STREAM = "rollouts";

    private static final Duration TICK = Duration.ofSeconds(1);
    private static final InstanceId OPERATOR = InstanceId.of("operator");

    private final RolloutServiceBuilder settings;
    private final RolloutBook book = new RolloutBook();
    private final StoppedRollouts stops = StoppedRollouts.create();
    private final EvidenceTable table;
    private final EvidenceExchange exchange;
    private final RolloutSteps steps;
    private final LogFollower follower;
    private final Map<ServiceName, TrafficSplit> splits = new ConcurrentHashMap<>();
    private final AtomicBoolean ticking = new AtomicBoolean();
    private volatile boolean running;

    RolloutService(RolloutServiceBuilder settings) {
        this.settings = settings;
        this.table = EvidenceTable.of(settings.self, settings.incarnation, settings.clock);
        this.exchange = new EvidenceExchange(settings, table, stops);
        this.follower = LogFollower.builder(settings.log, STREAM, settings.scheduler)
                .executor(settings.executor)
                .handler(this::onRecord)
                .notices(this::onNotice)
                .build();
        this.steps = new RolloutSteps(settings, book, stops, exchange, follower);
    }

    /** Returns a builder; {@code incarnation} tells this process from earlier ones of its name. */
    public static RolloutServiceBuilder builder(
            InstanceId self, long incarnation, PlatformLog log, Scheduler scheduler) {
        return new RolloutServiceBuilder(self, incarnation, log, scheduler);
    }

    /** Returns the name of the lease under which the rollouts of a service go forward. */
    public static String leaseName(ServiceName service) {
        return "rollout:" + service;
    }

    /** Begins to follow the log and to work on rollouts; the future completes at once, see {@link #caughtUp}. */
    @Override
    public CompletableFuture<Void> start() {
        running = true;
        scheduleTick();
        return follower.start();
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        running = false;
        return follower.stop(grace);
    }

    /** Completes when the records that the log had at the start have been read. */
    public CompletableFuture<Void> caughtUp() {
        return follower.caughtUp();
    }

    /**
     * Takes an accepted declaration; one that is known, or older than the newest of its service, is ignored. A second
     * rollout of a service waits for the verdict on the first.
     */
    public void declare(RolloutPlan plan, Set<RouteName> routes) {
        long windows = Math.max(1, plan.duration().dividedBy(EvidenceTable.WINDOW));
        JudgeSettings judging = new JudgeSettings(plan.criteria(), routes, settings.falseAlarmRate, windows);
        RolloutTrack track = new RolloutTrack(plan, settings.judge.create(judging), table.currentWindow() - 1);
        if (book.declare(track)) {
            publish(plan.id().service());
        }
    }

    /**
     * Takes the operator's withdrawal of a declaration: a rollout that is under way is rolled back; one that has its
     * verdict is forgotten here, so that the service's current version serves again.
     */
    public void withdraw(RolloutId id) {
        if (book.state(id).filter(state -> state.phase().isTerminal()).isPresent()) {
            book.forget(id);
            splits.computeIfPresent(
                    id.service(),
                    (service, split) -> book.current(service).map(this::split).orElse(null));
        } else {
            stop(new RolloutVerdict(id, OPERATOR, settings.clock.millis(), "withdrawn by the operator"));
        }
    }

    /** Counts one call that this entry made. */
    public void record(CallSample sample) {
        table.record(sample);
    }

    /**
     * Returns the version for a request, by the hash of its affinity key ({@link TrafficSplit#hashOf}); empty when no
     * rollout of the service is known, and then the service's current version serves.
     */
    public Optional<VersionName> versionFor(ServiceName service, long requestHash) {
        return Optional.ofNullable(splits.get(service)).map(split -> split.versionFor(requestHash));
    }

    /** Returns the share of the new version, from 0 to 1; 0 when no rollout of the service is known. */
    public double shareOfNew(ServiceName service) {
        TrafficSplit split = splits.get(service);
        return split == null ? 0 : split.share();
    }

    /** Whether this process stopped a version on evidence, so that a sidecar refuses work for it. */
    public boolean stopped(ServiceName service, VersionName version) {
        return book.current(service)
                .filter(track -> track.plan().to().equals(version))
                .flatMap(track -> stops.verdictFor(track.plan().id()))
                .isPresent();
    }

    /** Returns where the newest rollout of a service stands. */
    public Optional<RolloutStatus> status(ServiceName service) {
        return book.current(service)
                .map(track -> new RolloutStatus(
                        track.plan(),
                        book.state(track.plan().id()),
                        stops.verdictFor(track.plan().id()),
                        track.judgement(),
                        track.nextStep()));
    }

    /** Returns a future of the verdict by the log: its phase is {@code DONE} or {@code ROLLED_BACK}. */
    public CompletableFuture<RolloutState> verdict(RolloutId id) {
        return book.verdict(id).copy();
    }

    /** Whether this process collects the evidence on a service and should contend for its lease. */
    public boolean collects(ServiceName service) {
        return exchange.collects(service);
    }

    /** Returns the verdicts known here, as a message for a heartbeat; empty when there is none. */
    public Optional<byte[]> verdictMessage() {
        return exchange.verdictMessage();
    }

    /**
     * Takes a message of a peer; fields of a later version are ignored.
     *
     * @throws coriandersill.core.CallFailure of kind {@code INVALID_REQUEST} when it is not a rollout message
     */
    public void accept(byte[] message) {
        RolloutCodec.read(message, node -> {
            node.path("evidence").forEach(exchange::accept);
            node.path("verdicts").forEach(this::acceptVerdict);
            return node;
        });
    }

    private void acceptVerdict(JsonNode node) {
        stop(RolloutCodec.verdict(node));
    }

    private void stop(RolloutVerdict verdict) {
        if (stops.accept(verdict)) {
            publish(verdict.id().service());
            settings.events.record(
                    EventCode.VERSION_STOPPED,
                    Map.of(
                            "service", verdict.id().service(),
                            "rollout", verdict.id().declaredAt(),
                            "source", verdict.source(),
                            "evidence", verdict.evidence()));
            if (verdict.source().equals(settings.self)) {
                exchange.spreadVerdicts();
            }
        }
    }

    private void onRecord(LogRecord record) {
        RolloutTransition transition = RolloutCodec.transition(record.data());
        RolloutStateMachine.Outcome outcome = book.apply(record.offset(), record.time(), transition);
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
        publish(id.service());
        settings.events.record(
                EventCode.ROLLOUT_CHANGED,
                Map.of(
                        "service", id.service(),
                        "rollout", id.declaredAt(),
                        "phase", transition.phase(),
                        "share", transition.share(),
                        "source", transition.source(),
                        "evidence", transition.evidence()));
        Optional<RolloutState> state = book.state(id);
        state.ifPresent(settings.listener);
        state.filter(known -> known.phase().isTerminal())
                .ifPresent(verdict -> book.takeWaiter(id).ifPresent(waiter -> waiter.complete(verdict)));
    }

    private void onNotice(LogNotice notice) {
        if (notice instanceof LogNotice.Restarted) {
            book.offsetsRestarted();
            book.active().forEach(RolloutTrack::settled);
        }
    }

    private void publish(ServiceName service) {
        splits.compute(
                service, (name, before) -> book.current(name).map(this::split).orElse(before));
    }

    private TrafficSplit split(RolloutTrack track) {
        RolloutPlan plan = track.plan();
        boolean stopped = stops.verdictFor(plan.id()).isPresent();
        double share =
                stopped ? 0 : book.state(plan.id()).map(RolloutState::share).orElse(0.0);
        return TrafficSplit.of(plan.from(), plan.to(), share);
    }

    private void scheduleTick() {
        settings.scheduler.schedule(TICK, () -> {
            if (running) {
                scheduleTick();
                settings.executor.execute(this::tick);
            }
        });
    }

    /** Judges the windows that have closed, takes the steps that are due and reports to the collectors. */
    private void tick() {
        if (!ticking.compareAndSet(false, true)) {
            return;
        }
        try {
            for (RolloutTrack track : book.active()) {
                steps.judge(track, table).ifPresent(this::stop);
                steps.advance(track);
            }
            exchange.report(book.active());
        } finally {
            ticking.set(false);
        }
    }
}
