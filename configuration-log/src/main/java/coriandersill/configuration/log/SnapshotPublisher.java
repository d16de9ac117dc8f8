package coriandersill.configuration.log;

import coriandersill.configuration.AcceptedState;
import coriandersill.configuration.ConfigurationRecord;
import coriandersill.configuration.ConfigurationState;
import coriandersill.configuration.SnapshotChunk;
import coriandersill.configuration.SnapshotPolicy;
import coriandersill.configuration.SnapshotSchedule;
import coriandersill.configuration.StreamPosition;
import coriandersill.core.InstanceId;
import coriandersill.documents.RecordCodec;
import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import coriandersill.events.LoopGuard;
import coriandersill.sharedlog.PlatformLog;
import coriandersill.sharedlog.Scheduler;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Publishes snapshots of the accepted state when {@link SnapshotSchedule} says that one is due, chunk by chunk.
 *
 * <p>Records and periodic checks are processed on the service's serial executor. If a chunk cannot be appended, the
 * snapshot is abandoned; readers ignore an incomplete snapshot.
 */
final class SnapshotPublisher {
    private static final int MAX_ENTRIES_PER_CHUNK = 100;
    /** The time without a check from which the publication counts as stalled. */
    private static final Duration STALL_BOUND = Duration.ofMinutes(1);

    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(1);

    private final PlatformLog log;
    private final Scheduler scheduler;
    private final Executor executor;
    private final InstantSource wallClock;
    private final RandomGenerator random;
    private final EventLog events;
    private final InstanceId self;
    private final Supplier<ConfigurationState> state;
    private final AtomicReference<SnapshotSchedule> schedule;
    private final SnapshotPolicy policy;

    /** The indexes of the chunks read so far of the snapshot {@code lastSnapshotId}. */
    private final Set<Integer> chunksSeen = new HashSet<>();

    private String lastSnapshotId = "";
    private long newestSnapshotPosition = StreamPosition.NONE;

    /** When to publish a snapshot for the next epoch; null unless the offsets have restarted in this epoch. */
    private Instant restartSnapshotDue;

    private boolean publishing;
    private final LoopGuard guard;
    private long publishedCount;
    private volatile boolean running;

    SnapshotPublisher(ConfigurationService.Builder builder, Supplier<ConfigurationState> state, Executor executor) {
        this.log = builder.log;
        this.scheduler = builder.scheduler;
        this.executor = executor;
        this.wallClock = builder.wallClock;
        this.random = builder.random;
        this.events = builder.events;
        this.guard = builder.loops.register("publication of snapshots", STALL_BOUND);
        this.self = builder.self;
        this.policy = builder.snapshotPolicy;
        this.state = state;
        this.schedule = new AtomicReference<>(
                SnapshotSchedule.initial(builder.snapshotPolicy, wallClock.instant(), builder.random));
    }

    void start() {
        running = true;
        scheduler.schedule(CHECK_INTERVAL, this::check);
    }

    void stop() {
        running = false;
        guard.rest();
    }

    /** Called for every record of the stream, with the time at which the log accepted it. */
    void onRecord(Instant recordTime, ConfigurationRecord record) {
        if (!(record instanceof SnapshotChunk chunk)) {
            schedule.updateAndGet(before -> before.afterRecord(wallClock.instant(), random));
            return;
        }
        if (!chunk.snapshotId().equals(lastSnapshotId)) {
            lastSnapshotId = chunk.snapshotId();
            chunksSeen.clear();
        }
        chunksSeen.add(chunk.index());
        boolean newer = chunk.asOf() > newestSnapshotPosition;
        if (newer && chunksSeen.size() == chunk.count()) {
            newestSnapshotPosition = chunk.asOf();
            schedule.updateAndGet(before -> before.afterSnapshot(recordTime, random));
        } else if (newer && !isOwnChunk(chunk)) {
            schedule.updateAndGet(before -> before.afterChunk(wallClock.instant(), random));
        }
        if (restartSnapshotDue != null
                && chunk.epoch() > StreamPosition.epoch(state.get().position())) {
            // A snapshot of the next epoch is being published; wait for its remaining chunks.
            restartSnapshotDue = jitteredFromNow(policy.maxJitter());
        }
    }

    /** Called when the stream's offsets have restarted, after which the state must be published for the next epoch. */
    void onOffsetsRestarted() {
        newestSnapshotPosition = StreamPosition.NONE;
        restartSnapshotDue = jitteredFromNow(policy.minRestartDelay());
    }

    private void check() {
        if (running) {
            try {
                executor.execute(() -> guard.runPeriodic(this::publishIfDue));
            } finally {
                scheduler.schedule(CHECK_INTERVAL, this::check);
            }
        }
    }

    private void publishIfDue() {
        ConfigurationState current = state.get();
        if (publishing || !current.origin().isComplete() || !current.pending().isEmpty()) {
            return;
        }
        if (restartSnapshotDue != null) {
            publishRestartSnapshotIfDue(current.accepted());
        } else if (schedule.get().isDue(wallClock.instant())) {
            publish(SnapshotChunk.split(nextSnapshotId(), current.accepted(), MAX_ENTRIES_PER_CHUNK));
        }
    }

    private void publishRestartSnapshotIfDue(AcceptedState accepted) {
        if (!wallClock.instant().isBefore(restartSnapshotDue)) {
            restartSnapshotDue = jitteredFromNow(policy.maxJitter());
            publish(SnapshotChunk.splitForNextEpoch(nextSnapshotId(), accepted, MAX_ENTRIES_PER_CHUNK));
        }
    }

    /** Called when the state has reached the next epoch. */
    void onEpochReached() {
        restartSnapshotDue = null;
    }

    private void publish(List<SnapshotChunk> chunks) {
        publishing = true;
        CompletableFuture<Long> lastAppend = CompletableFuture.completedFuture(0L);
        for (SnapshotChunk chunk : chunks) {
            lastAppend = lastAppend.thenCompose(
                    offset -> log.append(ConfigurationService.STREAM, List.of(RecordCodec.encode(chunk))));
        }
        CompletableFuture<Long> unused =
                lastAppend.whenComplete((offset, error) -> execute(() -> onPublished(chunks, offset, error)));
    }

    /** Runs a task on the executor; if that is not possible, later. */
    private void execute(Runnable task) {
        guard.run(() -> executor.execute(task), () -> scheduler.schedule(CHECK_INTERVAL, () -> execute(task)));
    }

    private void onPublished(List<SnapshotChunk> chunks, Long offset, Throwable error) {
        publishing = false;
        if (error != null) {
            schedule.updateAndGet(before -> before.afterFailure(wallClock.instant(), random));
            return;
        }
        schedule.updateAndGet(before -> before.afterSnapshot(wallClock.instant(), random));
        events.record(
                EventCode.SNAPSHOT_PUBLISHED,
                Map.of("asOf", chunks.get(0).asOf(), "parts", chunks.size(), "lastOffset", offset));
    }

    private boolean isOwnChunk(SnapshotChunk chunk) {
        return chunk.snapshotId().startsWith(self.value() + ":");
    }

    private String nextSnapshotId() {
        publishedCount++;
        return self.value() + ":" + wallClock.instant().toEpochMilli() + ":" + publishedCount;
    }

    /** Returns a random time between one and two times {@code delay} from now. */
    private Instant jitteredFromNow(Duration delay) {
        return wallClock.instant().plus(delay).plusNanos((long) (random.nextDouble() * delay.toNanos()));
    }
}
