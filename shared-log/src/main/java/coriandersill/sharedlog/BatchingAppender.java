package coriandersill.sharedlog;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.MonotonicClock;
import coriandersill.core.Ran;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Appends records to one stream in batches, with one append under way at a time.
 *
 * <pre>{@code
 * BatchingAppender claims = BatchingAppender.builder(log, "claims", scheduler).build();
 * CompletableFuture<Long> offset = claims.append(bytes, AppendMode.AT_MOST_ONCE);
 * }</pre>
 *
 * <p>A record that finds the queue full fails with {@code LOG_UNAVAILABLE} and {@code ran NO}. Records keep their order
 * within the stream. The queue is guarded by a lock of rank {@link LockRank#AUDIT}, under which nothing is called.
 */
public final class BatchingAppender {
    private enum State {
        IDLE,
        COLLECTING,
        SENDING
    }

    private final PlatformLog log;
    private final String stream;
    private final Scheduler scheduler;
    private final Executor executor;
    private final Backoff backoff;
    private final RandomGenerator random;
    private final MonotonicClock clock;
    private final Duration linger;
    private final Duration maxWait;
    private final int maxBatchSize;
    private final int maxPendingRecords;
    private final long maxPendingBytes;

    private final RankedLock lock = RankedLock.of(LockRank.AUDIT);
    private final Deque<QueuedRecord> queue = new ArrayDeque<>();
    private State state = State.IDLE;
    private int pendingRecords;
    private long pendingBytes;
    private int consecutiveFailures;

    private BatchingAppender(Builder builder) {
        this.log = builder.log;
        this.stream = builder.stream;
        this.scheduler = builder.scheduler;
        this.executor = builder.executor;
        this.backoff = builder.backoff;
        this.random = builder.random;
        this.clock = builder.clock;
        this.linger = builder.linger;
        this.maxWait = builder.maxWait;
        this.maxBatchSize = builder.maxBatchSize;
        this.maxPendingRecords = builder.maxPendingRecords;
        this.maxPendingBytes = builder.maxPendingBytes;
    }

    /** Returns a builder for an appender to {@code stream}. */
    public static Builder builder(PlatformLog log, String stream, Scheduler scheduler) {
        return new Builder(log, stream, scheduler);
    }

    /**
     * Queues one record; the future gets its offset.
     *
     * <p>Fails with {@code LOG_UNAVAILABLE}: {@code ran NO} when the record is not in the log and will not be,
     * {@code ran UNKNOWN} when an answer was lost.
     */
    public CompletableFuture<Long> append(byte[] data, AppendMode mode) {
        QueuedRecord entry = new QueuedRecord(
                Objects.requireNonNull(data, "data"), Objects.requireNonNull(mode, "mode"), clock.nanos());
        State before = lock.with(() -> offer(entry));
        if (before == null) {
            return CallFailure.of(ErrorKind.LOG_UNAVAILABLE, "queue of stream " + stream + " is full")
                    .withRetryAfter(backoff.initialDelay())
                    .asFuture();
        }
        if (before == State.IDLE) {
            scheduler.schedule(linger, this::send);
        } else if (before == State.COLLECTING && hasFullBatch()) {
            send();
        }
        return entry.offset;
    }

    /** How many records wait or are under way. */
    public int pending() {
        return lock.with(() -> pendingRecords);
    }

    private State offer(QueuedRecord entry) {
        if (pendingRecords >= maxPendingRecords || pendingBytes + entry.data.length > maxPendingBytes) {
            return null;
        }
        State before = state;
        pendingRecords++;
        pendingBytes += entry.data.length;
        queue.add(entry);
        if (state == State.IDLE) {
            state = State.COLLECTING;
        }
        return before;
    }

    private boolean hasFullBatch() {
        return lock.with(() -> queue.size() >= maxBatchSize);
    }

    private void send() {
        if (lock.with(() -> state != State.COLLECTING)) {
            return;
        }
        List<QueuedRecord> expired = new ArrayList<>();
        List<QueuedRecord> batch = lock.with(() -> takeBatch(expired));
        fail(expired, "waited longer than " + maxWait, Ran.NO);
        if (batch.isEmpty()) {
            return;
        }
        List<byte[]> records = batch.stream().map(entry -> entry.data).toList();
        CompletableFuture<Long> unused = log.append(stream, records)
                .whenComplete((first, error) -> dispatch(() -> onResponse(batch, first, error)));
    }

    private List<QueuedRecord> takeBatch(List<QueuedRecord> expired) {
        if (state != State.COLLECTING) {
            return List.of();
        }
        long oldest = clock.nanos() - maxWait.toNanos();
        remove(entry -> entry.queuedNanos < oldest, expired);
        List<QueuedRecord> batch = new ArrayList<>();
        while (!queue.isEmpty()
                && batch.size() < maxBatchSize
                && (batch.isEmpty() || batch.get(0).mode == queue.peek().mode)) {
            batch.add(queue.poll());
        }
        state = batch.isEmpty() ? State.IDLE : State.SENDING;
        return batch;
    }

    private void remove(Predicate<QueuedRecord> condition, List<QueuedRecord> removed) {
        for (Iterator<QueuedRecord> entries = queue.iterator(); entries.hasNext(); ) {
            QueuedRecord entry = entries.next();
            if (condition.test(entry)) {
                entries.remove();
                removed.add(entry);
                releaseCapacity(entry);
            }
        }
    }

    private void releaseCapacity(QueuedRecord entry) {
        pendingRecords--;
        pendingBytes -= entry.data.length;
    }

    private void onResponse(List<QueuedRecord> batch, Long first, Throwable error) {
        if (error == null) {
            lock.run(() -> {
                consecutiveFailures = 0;
                batch.forEach(this::releaseCapacity);
                state = queue.isEmpty() ? State.IDLE : State.COLLECTING;
            });
            for (int i = 0; i < batch.size(); i++) {
                batch.get(i).offset.complete(first + i);
            }
            send();
        } else {
            onFailure(batch, CallFailure.from(error));
        }
    }

    private void onFailure(List<QueuedRecord> batch, CallFailure failure) {
        Ran ran = failure.ran() == Ran.NO ? Ran.NO : Ran.UNKNOWN;
        List<QueuedRecord> given = new ArrayList<>();
        Duration delay = lock.with(() -> {
            consecutiveFailures++;
            if (batch.get(0).mode == AppendMode.AT_MOST_ONCE) {
                given.addAll(batch);
                batch.forEach(this::releaseCapacity);
            } else {
                requeue(batch, ran);
            }
            if (ran == Ran.NO) {
                remove(entry -> entry.mode == AppendMode.AT_MOST_ONCE, given);
            }
            state = queue.isEmpty() ? State.IDLE : State.SENDING;
            return state == State.IDLE ? null : backoff.delay(consecutiveFailures, random);
        });
        if (delay != null) {
            scheduler.schedule(delay, this::resume);
        }
        fail(given, failure.getMessage(), ran);
    }

    private void requeue(List<QueuedRecord> batch, Ran ran) {
        for (int i = batch.size() - 1; i >= 0; i--) {
            batch.get(i).mayBeAppended |= ran != Ran.NO;
            queue.addFirst(batch.get(i));
        }
    }

    private void resume() {
        lock.run(() -> state = State.COLLECTING);
        send();
    }

    private void fail(List<QueuedRecord> entries, String reason, Ran ran) {
        for (QueuedRecord entry : entries) {
            CallFailure failure = CallFailure.of(ErrorKind.LOG_UNAVAILABLE, "append to " + stream + ": " + reason)
                    .withRan(entry.mayBeAppended ? Ran.UNKNOWN : ran);
            entry.offset.completeExceptionally(failure);
        }
    }

    private void dispatch(Runnable task) {
        try {
            executor.execute(task);
        } catch (RuntimeException rejected) {
            task.run();
        }
    }

    private static final class QueuedRecord {
        private final byte[] data;
        private final AppendMode mode;
        private final long queuedNanos;
        private final CompletableFuture<Long> offset = new CompletableFuture<>();
        private boolean mayBeAppended;

        private QueuedRecord(byte[] data, AppendMode mode, long queuedNanos) {
            this.data = data;
            this.mode = mode;
            this.queuedNanos = queuedNanos;
        }
    }

    /** Collects the settings of a {@link BatchingAppender}. */
    public static final class Builder {
        private final PlatformLog log;
        private final String stream;
        private final Scheduler scheduler;
        private Executor executor = Runnable::run;
        private Backoff backoff = new Backoff(Duration.ofMillis(50), Duration.ofSeconds(1));
        private RandomGenerator random = RandomGenerator.getDefault();
        private MonotonicClock clock = MonotonicClock.system();
        private Duration linger = Duration.ofMillis(2);
        private Duration maxWait = Duration.ofSeconds(5);
        private int maxBatchSize = 200;
        private int maxPendingRecords = 10_000;
        private long maxPendingBytes = 4L << 20;

        private Builder(PlatformLog log, String stream, Scheduler scheduler) {
            this.log = Objects.requireNonNull(log, "log");
            this.stream = Objects.requireNonNull(stream, "stream");
            this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        }

        /** Where futures are completed; the log's own thread unless set, or when the executor refuses. */
        public Builder executor(Executor value) {
            this.executor = Objects.requireNonNull(value, "executor");
            return this;
        }

        /** The delays after failures; 50 ms to 1 s unless set. */
        public Builder backoff(Backoff value) {
            this.backoff = Objects.requireNonNull(value, "backoff");
            return this;
        }

        /** Where jitter comes from. */
        public Builder random(RandomGenerator value) {
            this.random = Objects.requireNonNull(value, "random");
            return this;
        }

        /** The clock for the longest wait. */
        public Builder clock(MonotonicClock value) {
            this.clock = Objects.requireNonNull(value, "clock");
            return this;
        }

        /** How long the first record of a batch waits for others; 2 ms unless set. */
        public Builder linger(Duration value) {
            this.linger = Objects.requireNonNull(value, "interval");
            return this;
        }

        /** How long a record may wait to be sent, or sent again; 5 s unless set. */
        public Builder maxWait(Duration value) {
            this.maxWait = Objects.requireNonNull(value, "maxWait");
            return this;
        }

        /** The most records of one append; 200 unless set. */
        public Builder maxBatchSize(int value) {
            this.maxBatchSize = value;
            return this;
        }

        /** The bounds of the queue, records under way included; 10,000 records and 4 MiB unless set. */
        public Builder capacity(int records, long bytes) {
            this.maxPendingRecords = records;
            this.maxPendingBytes = bytes;
            return this;
        }

        /** Returns the appender. */
        public BatchingAppender build() {
            return new BatchingAppender(this);
        }
    }
}
