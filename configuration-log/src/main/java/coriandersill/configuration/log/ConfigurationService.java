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
 * Keeps the accepted configuration of one process in step with the log and with its peers.
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
 * <p>Every message to a peer carries {@link #digest()}; on a peer's digest the process asks {@link #shouldFetchFrom}
 * and, if so, fetches the peer's {@link #exportSince} and hands it to {@link #importPeerState}. It may be used from any
 * thread. A process that is to learn from its peers only is built with {@link Builder#peersOnly()}.
 */
public final class ConfigurationService implements ManagedService {
    /** The stream of the log that carries the configuration. */
    public static final String STREAM = "configuration";

    private final ConfigurationTable table;
    private final CatchUpTimer catchUp;
    private final EventLog events;
    private final LogFollower follower;
    private final SnapshotPublisher publisher;
    private final CompletableFuture<Void> ready = new CompletableFuture<>();

    private ConfigurationService(Builder settings) {
        this.table = ConfigurationTable.of(ConfigurationStateMachine.of(settings.validator));
        this.events = settings.events;
        this.catchUp = new CatchUpTimer(settings.clock, settings.catchUpDelay, settings.random);
        Executor serial = new SerialExecutor(settings.executor);
        this.publisher = new SnapshotPublisher(settings, table::state, serial);
        this.follower = settings.peersOnly
                ? null
                : LogFollower.builder(settings.log, STREAM, settings.scheduler)
                        .executor(serial)
                        .random(settings.random)
                        .clock(settings.clock)
                        .handler(this::take)
                        .notices(this::notice)
                        .build();
        table.addListener(new EventWriter(settings.events));
    }

    /** Returns a builder for the service of one process. */
    public static Builder builder(InstanceId self, PlatformLog log, Scheduler scheduler) {
        return new Builder(self, log, scheduler);
    }

    /** Begins to follow the log; the future completes at once, see {@link #whenReady()}. */
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

    /** The documents in force; empty before the first accepted change set. */
    public Configuration current() {
        return table.current();
    }

    /** What is known of the stream, versions and proof included. */
    public ConfigurationState state() {
        return table.state();
    }

    /** The decided change sets that are remembered, oldest first. */
    public List<HistoryEntry> history() {
        return table.state().accepted().history();
    }

    /** The digest for messages to peers. */
    public StateDigest digest() {
        return table.state().digest();
    }

    /** Whether the state is proven, and read to the end of the log or given by a peer. */
    public boolean ready() {
        StateOrigin proof = table.state().origin();
        boolean caughtUp = follower != null && follower.caughtUp().isDone();
        return proof.isComplete() && (caughtUp || proof == StateOrigin.PEER);
    }

    /** Completes when {@link #ready()} is first true. */
    public CompletableFuture<Void> whenReady() {
        return ready.copy();
    }

    /** How far this process is behind the log; the time since the last peer's state for a process without a log. */
    public LogFollower.Lag lag() {
        return follower == null ? catchUp.lag() : follower.lag();
    }

    /** Returns the bytes of the whole proven state, for a peer. */
    public byte[] exportState() {
        return RecordCodec.encode(PeerState.full(table.state().accepted()));
    }

    /** Returns the bytes of what changed after {@code digest}, or of the whole state when that is not known. */
    public byte[] exportSince(StateDigest digest) {
        return RecordCodec.encode(
                PeerState.changesSince(digest.position(), table.state().accepted()));
    }

    /**
     * Takes a peer's state and returns whether this process moved forward; never moves back.
     *
     * <p>Throws a {@link coriandersill.core.CallFailure} of kind {@code INVALID_REQUEST} for bytes that are no state.
     */
    public boolean importPeerState(byte[] bytes) {
        long before = table.state().position();
        boolean moved = table.importPeer(RecordCodec.decodePeer(bytes));
        if (moved) {
            catchUp.reached(digest());
            events.record(
                    EventCode.CONFIGURATION_FROM_PEER,
                    Map.of("from", before, "to", table.state().position()));
            checkReady();
        }
        return moved;
    }

    /**
     * Whether this process should fetch the state of the peer that sent {@code digest}: it has been behind for longer
     * than the log takes, and no fetch was asked for lately.
     */
    public boolean shouldFetchFrom(StateDigest digest) {
        return catchUp.wants(digest, digest());
    }

    private void take(LogRecord record) {
        ConfigurationRecord decoded = RecordCodec.decode(record.data());
        if (decoded instanceof ConfigurationRecord.Unknown unknown) {
            events.record(
                    EventCode.CONFIGURATION_OFFSETS,
                    Map.of("offset", record.offset(), "notice", "skipped", "type", unknown.type()));
        }
        long epoch = StreamPosition.epoch(table.state().position());
        Verdict verdict = table.apply(record.offset(), decoded);
        if (StreamPosition.epoch(table.state().position()) > epoch) {
            publisher.epochReached();
        }
        publisher.seen(record.time(), decoded);
        if (verdict instanceof Verdict.Undecided undecided) {
            events.record(
                    EventCode.CONFIGURATION_OFFSETS,
                    Map.of("offset", record.offset(), "notice", "undecided", "reason", undecided.reason()));
        }
        checkReady();
    }

    private void notice(LogNotice notice) {
        if (notice instanceof LogNotice.Unavailable unavailable) {
            events.record(
                    EventCode.LOG_DOWN, Map.of("error", unavailable.failure().getMessage()));
        } else if (notice instanceof LogNotice.Available) {
            events.record(EventCode.LOG_UP, Map.of());
        } else {
            events.record(EventCode.CONFIGURATION_OFFSETS, Map.of("notice", notice.toString()));
        }
        if (notice instanceof LogNotice.Restarted && table.state().origin().isComplete()) {
            publisher.offsetsRestarted();
        }
    }

    private void checkReady() {
        if (!ready.isDone() && ready()) {
            ready.complete(null);
        }
    }

    /** Collects the settings of a {@link ConfigurationService}. */
    public static final class Builder {
        final InstanceId self;
        final PlatformLog log;
        final Scheduler scheduler;
        Executor executor = Runnable::run;
        InstantSource time = InstantSource.system();
        MonotonicClock clock = MonotonicClock.system();
        RandomGenerator random = RandomGenerator.getDefault();
        EventLog events = EventLog.none();
        ConfigurationValidator validator = StandardRule.all();
        SnapshotPolicy snapshots = SnapshotPolicy.forRetention(Duration.ofDays(1));
        Duration catchUpDelay = Duration.ofSeconds(1);
        boolean peersOnly;

        private Builder(InstanceId self, PlatformLog log, Scheduler scheduler) {
            this.self = Objects.requireNonNull(self, "self");
            this.log = Objects.requireNonNull(log, "log");
            this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        }

        /** Where records are folded; the log's own thread unless set. */
        public Builder executor(Executor value) {
            this.executor = Objects.requireNonNull(value, "executor");
            return this;
        }

        /** The clock against which the log's times are held. */
        public Builder time(InstantSource value) {
            this.time = Objects.requireNonNull(value, "time");
            return this;
        }

        /** The clock for lags. */
        public Builder clock(MonotonicClock value) {
            this.clock = Objects.requireNonNull(value, "clock");
            return this;
        }

        /** Where jitter comes from. */
        public Builder random(RandomGenerator value) {
            this.random = Objects.requireNonNull(value, "random");
            return this;
        }

        /** Who hears events; nobody unless set. */
        public Builder events(EventLog value) {
            this.events = Objects.requireNonNull(value, "events");
            return this;
        }

        /** The rules between documents, equal in every process; {@link StandardRule#all()} unless set. */
        public Builder validator(ConfigurationValidator value) {
            this.validator = Objects.requireNonNull(value, "validator");
            return this;
        }

        /** When snapshots are published; for a retention of one day unless set. */
        public Builder snapshots(SnapshotPolicy value) {
            this.snapshots = Objects.requireNonNull(value, "snapshots");
            return this;
        }

        /** How long this process may be behind a peer before it fetches the peer's state; 1 s unless set. */
        public Builder catchUpDelay(Duration value) {
            this.catchUpDelay = Objects.requireNonNull(value, "catchUpDelay");
            return this;
        }

        /** Lets the process neither read nor write the log: it learns from its peers only. */
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
