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
 * Publishes the accepted state when {@link SnapshotSchedule} says so, one part at a time.
 *
 * <p>Records and ticks come on the service's serial executor; the schedule is one immutable value. A part that fails
 * ends the snapshot: its parts are harmless without the rest.
 */
final class SnapshotPublisher {
    private static final int PER_CHUNK = 100;
    private static final Duration TICK = Duration.ofSeconds(1);

    private final PlatformLog log;
    private final Scheduler scheduler;
    private final Executor executor;
    private final InstantSource time;
    private final RandomGenerator random;
    private final EventLog events;
    private final InstanceId self;
    private final Supplier<ConfigurationState> state;
    private final AtomicReference<SnapshotSchedule> schedule;
    private final SnapshotPolicy policy;

    private final Set<Integer> partsSeen = new HashSet<>();
    private String snapshotSeen = "";
    private long newestAsOf = StreamPosition.NONE;
    private Instant restartDue;
    private boolean publishing;
    private long published;
    private volatile boolean running;

    SnapshotPublisher(ConfigurationService.Builder settings, Supplier<ConfigurationState> state, Executor executor) {
        this.log = settings.log;
        this.scheduler = settings.scheduler;
        this.executor = executor;
        this.time = settings.time;
        this.random = settings.random;
        this.events = settings.events;
        this.self = settings.self;
        this.policy = settings.snapshots;
        this.state = state;
        this.schedule =
                new AtomicReference<>(SnapshotSchedule.initial(settings.snapshots, time.instant(), settings.random));
    }

    void start() {
        running = true;
        scheduler.schedule(TICK, this::tick);
    }

    void stop() {
        running = false;
    }

    /** Hears every record of the stream. */
    void seen(Instant at, ConfigurationRecord record) {
        if (!(record instanceof SnapshotChunk chunk)) {
            schedule.updateAndGet(before -> before.afterRecord(time.instant(), random));
            return;
        }
        if (!chunk.snapshotId().equals(snapshotSeen)) {
            snapshotSeen = chunk.snapshotId();
            partsSeen.clear();
        }
        partsSeen.add(chunk.index());
        boolean newer = chunk.asOf() > newestAsOf;
        if (newer && partsSeen.size() == chunk.count()) {
            newestAsOf = chunk.asOf();
            schedule.updateAndGet(before -> before.afterSnapshot(at, random));
        } else if (newer && !ownPart(chunk)) {
            schedule.updateAndGet(before -> before.afterChunk(time.instant(), random));
        }
        if (restartDue != null
                && chunk.epoch() > StreamPosition.epoch(state.get().position())) {
            restartDue = later(policy.jitter());
        }
    }

    /** Hears that the stream's offsets have restarted: the state has to be published for the next epoch. */
    void offsetsRestarted() {
        newestAsOf = StreamPosition.NONE;
        restartDue = later(policy.restartDelay());
    }

    private void tick() {
        if (running) {
            try {
                executor.execute(this::publishIfDue);
            } finally {
                scheduler.schedule(TICK, this::tick);
            }
        }
    }

    private void publishIfDue() {
        ConfigurationState now = state.get();
        if (publishing || !now.origin().isComplete() || !now.pending().isEmpty()) {
            return;
        }
        if (restartDue != null) {
            publishRestart(now.accepted());
        } else if (schedule.get().isDue(time.instant())) {
            publish(SnapshotChunk.split(nextId(), now.accepted(), PER_CHUNK));
        }
    }

    private void publishRestart(AcceptedState accepted) {
        if (!time.instant().isBefore(restartDue)) {
            restartDue = later(policy.jitter());
            publish(SnapshotChunk.splitForNextEpoch(nextId(), accepted, PER_CHUNK));
        }
    }

    /** Hears that the state has reached the next epoch. */
    void epochReached() {
        restartDue = null;
    }

    private void publish(List<SnapshotChunk> chunks) {
        publishing = true;
        CompletableFuture<Long> last = CompletableFuture.completedFuture(0L);
        for (SnapshotChunk chunk : chunks) {
            last = last.thenCompose(
                    offset -> log.append(ConfigurationService.STREAM, List.of(RecordCodec.encode(chunk))));
        }
        CompletableFuture<Long> unused =
                last.whenCompleteAsync((offset, error) -> published(chunks, offset, error), executor);
    }

    private void published(List<SnapshotChunk> chunks, Long offset, Throwable error) {
        publishing = false;
        if (error != null) {
            schedule.updateAndGet(before -> before.afterFailure(time.instant(), random));
            return;
        }
        schedule.updateAndGet(before -> before.afterSnapshot(time.instant(), random));
        events.record(
                EventCode.SNAPSHOT_PUBLISHED,
                Map.of("asOf", chunks.get(0).asOf(), "parts", chunks.size(), "lastOffset", offset));
    }

    private boolean ownPart(SnapshotChunk chunk) {
        return chunk.snapshotId().startsWith(self.value() + ":");
    }

    private String nextId() {
        published++;
        return self.value() + ":" + time.instant().toEpochMilli() + ":" + published;
    }

    private Instant later(Duration span) {
        return time.instant().plus(span).plusNanos((long) (random.nextDouble() * span.toNanos()));
    }
}
