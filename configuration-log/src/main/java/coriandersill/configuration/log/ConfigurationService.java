package coriandersill.configuration.log;

import coriandersill.configuration.Configuration;
import coriandersill.configuration.ConfigurationListener;
import coriandersill.configuration.ConfigurationRecord;
import coriandersill.configuration.ConfigurationState;
import coriandersill.configuration.ConfigurationStateMachine;
import coriandersill.configuration.ConfigurationTable;
import coriandersill.configuration.ConfigurationValidator;
import coriandersill.configuration.HistoryEntry;
import coriandersill.configuration.PeerState;
import coriandersill.configuration.SnapshotPolicy;
import coriandersill.configuration.StandardRule;
import coriandersill.configuration.StateDigest;
import coriandersill.configuration.StateOrigin;
import coriandersill.configuration.StreamPosition;
import coriandersill.configuration.Verdict;
import coriandersill.core.InstanceId;
import coriandersill.core.ManagedService;
import coriandersill.core.MonotonicClock;
import coriandersill.documents.RecordCodec;
import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import coriandersill.events.Loops;
import coriandersill.sharedlog.LogFollower;
import coriandersill.sharedlog.LogNotice;
import coriandersill.sharedlog.LogRecord;
import coriandersill.sharedlog.PlatformLog;
import coriandersill.sharedlog.Scheduler;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;

/**
 * Keeps the accepted configuration of one process up to date from the log and from its peers.
 *
 * <pre>{@code
 * ConfigurationService service = ConfigurationService.builder(self, log, scheduler)
 *         .executor(workers)
 *         .events(events)
 *         .build();
 * service.addListener(current -> routes.rebuild(current));
 * service.start();
 * service.whenReady().thenRun(daemon::announceReady);
 * }</pre>
 *
 * <p>Messages between processes carry {@link #digest()}. When the digest of a peer arrives and {@link #shouldFetchFrom}
 * returns true, the process fetches the result of the peer's {@link #exportSince} and passes it to
 * {@link #importPeerState}. A process without access to the log is built with {@link Builder#peersOnly()} and receives
 * the configuration from its peers only. Thread-safe.
 */
public final class ConfigurationService implements ManagedService {
    /** The stream of the log that carries the configuration. */
    public static final String STREAM = "configuration";

    private final ConfigurationTable table;
    private final CatchUpTimer catchUpTimer;
    private final EventLog events;
    private final LogFollower follower;
    private final SnapshotPublisher publisher;
    private final CompletableFuture<Void> ready = new CompletableFuture<>();

    private ConfigurationService(Builder builder) {
        this.table = ConfigurationTable.of(ConfigurationStateMachine.of(builder.validator));
        this.events = builder.events;
        this.catchUpTimer = new CatchUpTimer(builder.clock, builder.catchUpDelay, builder.random);
        Executor serial = new SerialExecutor(builder.executor);
        this.publisher = new SnapshotPublisher(builder, table::state, serial);
        this.follower = builder.peersOnly
                ? null
                : LogFollower.builder(builder.log, STREAM, builder.scheduler)
                        .executor(serial)
                        .random(builder.random)
                        .clock(builder.clock)
                        .handler(this::handleRecord)
                        .notices(this::handleNotice)
                        .guard(builder.loops.registerEssential("reads of configuration", LogFollower.STALL_BOUND))
                        .build();
        table.addListener(new EventWriter(builder.events));
    }

    /** Returns a builder for the service of one process. */
    public static Builder builder(InstanceId self, PlatformLog log, Scheduler scheduler) {
        return new Builder(self, log, scheduler);
    }

    /** Starts to follow the log; the future completes immediately, see {@link #whenReady()}. */
    @Override
    public CompletableFuture<Void> start() {
        if (follower == null) {
            return CompletableFuture.completedFuture(null);
        }
        publisher.start();
        CompletableFuture<Void> unused = follower.caughtUp().thenRun(this::checkReady);
        return follower.start();
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        publisher.stop();
        return follower == null ? CompletableFuture.completedFuture(null) : follower.stop(grace);
    }

    /** Adds a listener; see {@link ConfigurationTable#addListener}. */
    public void addListener(ConfigurationListener listener) {
        table.addListener(listener);
    }

    /** The documents in effect; empty before the first accepted change set. */
    public Configuration current() {
        return table.current();
    }

    /** The state after the records read so far, with document versions. */
    public ConfigurationState state() {
        return table.state();
    }

    /** The decided change sets in the history, oldest first. */
    public List<HistoryEntry> history() {
        return table.state().accepted().history();
    }

    /** The digest to include in messages to peers. */
    public StateDigest digest() {
        return table.state().digest();
    }

    /** Returns whether the state is complete and was either read to the end of the log or received from a peer. */
    public boolean ready() {
        StateOrigin origin = table.state().origin();
        boolean caughtUp = follower != null && follower.caughtUp().isDone();
        return origin.isComplete() && (caughtUp || origin == StateOrigin.PEER);
    }

    /** Returns a future that completes when {@link #ready()} first becomes true. */
    public CompletableFuture<Void> whenReady() {
        return ready.copy();
    }

    /** How far this process is behind the log or, without the log, the time since it last adopted a peer's state. */
    public LogFollower.Lag lag() {
        return follower == null ? catchUpTimer.lag() : follower.lag();
    }

    /** Returns the full accepted state, encoded for a peer. */
    public byte[] exportState() {
        return RecordCodec.encode(PeerState.full(table.state().accepted()));
    }

    /** Returns the changes since {@code digest}, or the full state if the changes are not known, encoded for a peer. */
    public byte[] exportSince(StateDigest digest) {
        return RecordCodec.encode(
                PeerState.changesSince(digest.position(), table.state().accepted()));
    }

    /**
     * Adopts an encoded peer state if it is newer than the own state, and returns whether it was adopted.
     *
     * <p>Throws a {@link coriandersill.core.CallFailure} of kind {@code INVALID_REQUEST} if the bytes cannot be
     * decoded.
     */
    public boolean importPeerState(byte[] bytes) {
        long before = table.state().position();
        boolean adopted = table.importPeer(RecordCodec.decodePeerState(bytes));
        if (adopted) {
            catchUpTimer.onPeerStateAdopted(digest());
            events.record(
                    EventCode.CONFIGURATION_FROM_PEER,
                    Map.of("from", before, "to", table.state().position()));
            checkReady();
        }
        return adopted;
    }

    /**
     * Returns whether this process should fetch the state of the peer that sent {@code digest}. It should if the digest
     * is newer than its own, and it has been behind a peer at the same position for the catch-up delay with jitter.
     * After returning true, this method returns false for another such delay. A process without a complete state does
     * not wait the first time.
     */
    public boolean shouldFetchFrom(StateDigest digest) {
        return catchUpTimer.shouldFetch(digest, digest());
    }

    private void handleRecord(LogRecord record) {
        ConfigurationRecord decoded = RecordCodec.decode(record.data());
        if (decoded instanceof ConfigurationRecord.Unknown unknown) {
            events.record(
                    EventCode.CONFIGURATION_OFFSETS,
                    Map.of("offset", record.offset(), "notice", "skipped", "type", unknown.type()));
        }
        long epoch = StreamPosition.epoch(table.state().position());
        Verdict verdict = table.apply(record.offset(), decoded);
        if (StreamPosition.epoch(table.state().position()) > epoch) {
            publisher.onEpochReached();
        }
        publisher.onRecord(record.time(), decoded);
        if (verdict instanceof Verdict.Undecided undecided) {
            events.record(
                    EventCode.CONFIGURATION_OFFSETS,
                    Map.of("offset", record.offset(), "notice", "undecided", "reason", undecided.reason()));
        }
        checkReady();
    }

    private void handleNotice(LogNotice notice) {
        if (notice instanceof LogNotice.Unavailable unavailable) {
            events.record(
                    EventCode.LOG_DOWN, Map.of("error", unavailable.failure().getMessage()));
        } else if (notice instanceof LogNotice.Available) {
            events.record(EventCode.LOG_UP, Map.of());
        } else {
            events.record(EventCode.CONFIGURATION_OFFSETS, Map.of("notice", notice.toString()));
        }
        if (notice instanceof LogNotice.Restarted && table.state().origin().isComplete()) {
            publisher.onOffsetsRestarted();
        }
    }

    private void checkReady() {
        if (!ready.isDone() && ready()) {
            ready.complete(null);
        }
    }

    /** Builder of a {@link ConfigurationService}. */
    public static final class Builder {
        final InstanceId self;
        final PlatformLog log;
        final Scheduler scheduler;
        Executor executor = Runnable::run;
        InstantSource wallClock = InstantSource.system();
        MonotonicClock clock = MonotonicClock.system();
        RandomGenerator random = RandomGenerator.getDefault();
        EventLog events = EventLog.none();
        Loops loops = Loops.unobserved();
        ConfigurationValidator validator = StandardRule.all();
        SnapshotPolicy snapshotPolicy = SnapshotPolicy.forRetention(Duration.ofDays(1));
        Duration catchUpDelay = Duration.ofSeconds(1);
        boolean peersOnly;

        private Builder(InstanceId self, PlatformLog log, Scheduler scheduler) {
            this.self = Objects.requireNonNull(self, "self");
            this.log = Objects.requireNonNull(log, "log");
            this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        }

        /** The executor on which records are applied; by default, the thread that calls back from the log. */
        public Builder executor(Executor value) {
            this.executor = Objects.requireNonNull(value, "executor");
            return this;
        }

        /** The wall clock used to schedule snapshots, comparable with the times of log records. */
        public Builder wallClock(InstantSource value) {
            this.wallClock = Objects.requireNonNull(value, "wallClock");
            return this;
        }

        /** The monotonic clock used for lags and the catch-up delay. */
        public Builder clock(MonotonicClock value) {
            this.clock = Objects.requireNonNull(value, "clock");
            return this;
        }

        /** The source of randomness for jitter. */
        public Builder random(RandomGenerator value) {
            this.random = Objects.requireNonNull(value, "random");
            return this;
        }

        /** The registry of the process's loops; by default, nobody observes them. */
        public Builder loops(Loops value) {
            this.loops = Objects.requireNonNull(value, "loops");
            return this;
        }

        /** The log that events are recorded in; by default, events are discarded. */
        public Builder events(EventLog value) {
            this.events = Objects.requireNonNull(value, "events");
            return this;
        }

        /** The consistency rules, which must be the same in every process; by default, {@link StandardRule#all()}. */
        public Builder validator(ConfigurationValidator value) {
            this.validator = Objects.requireNonNull(value, "validator");
            return this;
        }

        /** When snapshots are published; by default, the policy for a log retention of one day. */
        public Builder snapshotPolicy(SnapshotPolicy value) {
            this.snapshotPolicy = Objects.requireNonNull(value, "snapshotPolicy");
            return this;
        }

        /**
         * How long this process may be behind a peer without progress before it fetches the peer's state; by default, 1
         * s.
         */
        public Builder catchUpDelay(Duration value) {
            this.catchUpDelay = Objects.requireNonNull(value, "catchUpDelay");
            return this;
        }

        /** Makes the process neither read nor write the log; it receives the configuration from its peers only. */
        public Builder peersOnly() {
            this.peersOnly = true;
            return this;
        }

        /** Returns the service. */
        public ConfigurationService build() {
            return new ConfigurationService(this);
        }
    }
}
