package coriandersill.sharedlog;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.MonotonicClock;
import coriandersill.core.Ran;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import coriandersill.events.LoopGuard;
import coriandersill.events.Loops;
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
 * Appends records to one stream in batches, with one append in flight at a time.
 *
 * <pre>{@code
 * BatchingAppender claims = BatchingAppender.builder(log, "claims", scheduler).build();
 * CompletableFuture<Long> offset = claims.append(bytes, AppendMode.AT_MOST_ONCE);
 * }</pre>
 *
 * <p>If the queue is full, an append fails with {@code LOG_UNAVAILABLE} and {@link Ran#NO}. Records keep their order
 * within the stream. The queue is guarded by a lock of rank {@link LockRank#AUDIT}, the last one, so it may be acquired
 * under any other lock; no callback runs under it.
 */
public final class BatchingAppender {
    /** The time without progress from which appends count as stalled: longer than an append and the longest delay. */
    public static final Duration STALL_BOUND = Duration.ofSeconds(10);

    private enum State {
        /** The queue is empty and no append is in flight. */
        IDLE,
        /** Records are queued until the batch is full or the linger time has passed. */
        COLLECTING,
        /** An append is in flight or waits for its retry. */
        SENDING
    }

    private final PlatformLog log;
    private final String stream;
    private final StepTimer timer;
    private final Executor executor;
    private final Backoff backoff;
    private final RandomGenerator random;
    private final MonotonicClock clock;
    private final LoopGuard guard;
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
        this.timer = StepTimer.of(builder.scheduler, builder.guard);
        this.executor = builder.executor;
        this.backoff = builder.backoff;
        this.random = builder.random;
        this.clock = builder.clock;
        this.guard = builder.guard;
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
     * Queues one record; the future completes with its offset.
     *
     * <p>Fails with {@code LOG_UNAVAILABLE}: with {@link Ran#NO} if the record was not appended and will not be, with
     * {@link Ran#UNKNOWN} if the response to an append was lost.
     */
    public CompletableFuture<Long> append(byte[] data, AppendMode mode) {
        QueuedRecord record = new QueuedRecord(
                Objects.requireNonNull(data, "data"), Objects.requireNonNull(mode, "mode"), clock.nanos());
        State previousState = lock.with(() -> offer(record));
        if (previousState == null) {
            return CallFailure.of(
                            ErrorKind.LOG_UNAVAILABLE,
                            "append to " + stream + ": the queue is full: expected at most " + maxPendingRecords
                                    + " records and " + maxPendingBytes + " bytes")
                    .withRetryAfter(backoff.initialDelay())
                    .asFuture();
        }
        if (previousState == State.IDLE) {
            timer.schedule(linger, this::send);
        } else if (previousState == State.COLLECTING && hasFullBatch()) {
            send();
        }
        return record.offsetFuture;
    }

    /** Returns the number of records that are queued or in flight. */
    public int pendingRecordCount() {
        return lock.with(() -> pendingRecords);
    }

    /** Queues a record and returns the state before; null if the queue is full. Called with the lock held. */
    private State offer(QueuedRecord record) {
        if (pendingRecords >= maxPendingRecords || pendingBytes + record.data.length > maxPendingBytes) {
            return null;
        }
        State previousState = state;
        pendingRecords++;
        pendingBytes += record.data.length;
        queue.add(record);
        if (state == State.IDLE) {
            state = State.COLLECTING;
            guard.begin();
        }
        return previousState;
    }

    private boolean hasFullBatch() {
        return lock.with(() -> queue.size() >= maxBatchSize);
    }

    /** Sends the next batch, unless an append is in flight. */
    private void send() {
        timer.run(this::sendBatch, backoff.initialDelay(), this::send);
    }

    private void sendBatch() {
        List<QueuedRecord> expired = new ArrayList<>();
        List<QueuedRecord> batch = lock.with(() -> takeBatch(expired));
        fail(expired, "waited longer than " + maxWait, Ran.NO);
        if (!batch.isEmpty()) {
            CompletableFuture<Long> unused = appendToLog(batch)
                    .whenComplete((firstOffset, error) -> dispatch(() -> onResponse(batch, firstOffset, error)));
        }
    }

    /** Appends records; the future fails with whatever keeps the append from being sent. */
    private CompletableFuture<Long> appendToLog(List<QueuedRecord> batch) {
        try {
            return log.append(stream, batch.stream().map(record -> record.data).toList());
        } catch (Throwable error) {
            return CompletableFuture.failedFuture(error);
        }
    }

    private List<QueuedRecord> takeBatch(List<QueuedRecord> expired) {
        if (state != State.COLLECTING) {
            return List.of();
        }
        long minQueuedNanos = clock.nanos() - maxWait.toNanos();
        remove(record -> record.queuedNanos < minQueuedNanos, expired);
        List<QueuedRecord> batch = new ArrayList<>();
        while (!queue.isEmpty()
                && batch.size() < maxBatchSize
                && (batch.isEmpty() || batch.get(0).mode == queue.peek().mode)) {
            batch.add(queue.poll());
        }
        if (batch.isEmpty()) {
            becomeIdle();
        } else {
            state = State.SENDING;
        }
        return batch;
    }

    /** Called with the lock held. */
    private void becomeIdle() {
        state = State.IDLE;
        guard.rest();
    }

    private void remove(Predicate<QueuedRecord> condition, List<QueuedRecord> removed) {
        for (Iterator<QueuedRecord> iterator = queue.iterator(); iterator.hasNext(); ) {
            QueuedRecord record = iterator.next();
            if (condition.test(record)) {
                iterator.remove();
                removed.add(record);
                releaseCapacity(record);
            }
        }
    }

    private void releaseCapacity(QueuedRecord record) {
        pendingRecords--;
        pendingBytes -= record.data.length;
    }

    private void onResponse(List<QueuedRecord> batch, Long firstOffset, Throwable error) {
        if (error != null) {
            try {
                onFailure(batch, CallFailure.from(error));
            } finally {
                markProgressUnlessUnexpected(error);
            }
            return;
        }
        guard.markProgress();
        lock.run(() -> {
            consecutiveFailures = 0;
            batch.forEach(this::releaseCapacity);
            continueOrBecomeIdle(State.COLLECTING);
        });
        for (int i = 0; i < batch.size(); i++) {
            batch.get(i).offsetFuture.complete(firstOffset + i);
        }
        send();
    }

    /** Called with the lock held. */
    private void continueOrBecomeIdle(State next) {
        if (queue.isEmpty()) {
            becomeIdle();
        } else {
            state = next;
        }
    }

    private void onFailure(List<QueuedRecord> batch, CallFailure failure) {
        Ran ran = failure.ran() == Ran.NO ? Ran.NO : Ran.UNKNOWN;
        List<QueuedRecord> failed = new ArrayList<>();
        Duration delay = lock.with(() -> {
            consecutiveFailures++;
            if (batch.get(0).mode == AppendMode.AT_MOST_ONCE) {
                failed.addAll(batch);
                batch.forEach(this::releaseCapacity);
            } else {
                requeue(batch, ran);
            }
            // While the log refuses appends, queued records that are sent at most once fail without waiting for the
            // next attempt.
            if (ran == Ran.NO) {
                remove(record -> record.mode == AppendMode.AT_MOST_ONCE, failed);
            }
            continueOrBecomeIdle(State.SENDING);
            return state == State.IDLE ? null : backoff.delay(consecutiveFailures, random);
        });
        fail(failed, failure.getMessage(), ran);
        if (delay != null) {
            timer.schedule(delay, this::resume);
        }
    }

    private void markProgressUnlessUnexpected(Throwable error) {
        if (CallFailure.from(error).kind() == ErrorKind.INTERNAL) {
            guard.fail(error);
        } else {
            guard.markProgress();
        }
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

    private void fail(List<QueuedRecord> records, String reason, Ran ran) {
        for (QueuedRecord record : records) {
            CallFailure failure = CallFailure.of(ErrorKind.LOG_UNAVAILABLE, "append to " + stream + ": " + reason)
                    .withRan(record.mayBeAppended ? Ran.UNKNOWN : ran);
            record.offsetFuture.completeExceptionally(failure);
        }
    }

    /** Runs a task on the executor, or on this thread if the executor does not accept it. */
    private void dispatch(Runnable task) {
        Runnable step = () -> timer.run(task, backoff.initialDelay(), this::resume);
        guard.run(() -> executor.execute(step), step);
    }

    private static final class QueuedRecord {
        private final byte[] data;
        private final AppendMode mode;
        private final long queuedNanos;
        private final CompletableFuture<Long> offsetFuture = new CompletableFuture<>();
        /** Whether an earlier append that contained this record had an unknown outcome. */
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
        private LoopGuard guard;

        private Builder(PlatformLog log, String stream, Scheduler scheduler) {
            this.log = Objects.requireNonNull(log, "log");
            this.stream = Objects.requireNonNull(stream, "stream");
            this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
            this.guard = Loops.unobserved().register("appends to " + stream, STALL_BOUND);
        }

        /**
         * Sets the executor that completes futures; by default, and if the executor rejects the task, the thread of the
         * log.
         */
        public Builder executor(Executor value) {
            this.executor = Objects.requireNonNull(value, "executor");
            return this;
        }

        /** Sets the delays after failures; 50 ms to 1 s by default. */
        public Builder backoff(Backoff value) {
            this.backoff = Objects.requireNonNull(value, "backoff");
            return this;
        }

        /** Sets the random generator for the jitter of the backoff. */
        public Builder random(RandomGenerator value) {
            this.random = Objects.requireNonNull(value, "random");
            return this;
        }

        /** Sets the clock that measures {@link #maxWait}. */
        public Builder clock(MonotonicClock value) {
            this.clock = Objects.requireNonNull(value, "clock");
            return this;
        }

        /** Sets how long the first record of a batch waits for more records; 2 ms by default. */
        public Builder linger(Duration value) {
            this.linger = Objects.requireNonNull(value, "linger");
            return this;
        }

        /** Sets how long a record may wait to be sent or retried; 5 s by default. */
        public Builder maxWait(Duration value) {
            this.maxWait = Objects.requireNonNull(value, "maxWait");
            return this;
        }

        /** Sets the maximum number of records in one append; 200 by default. */
        public Builder maxBatchSize(int value) {
            this.maxBatchSize = value;
            return this;
        }

        /** Sets the limits of the queue, including records in flight; 10,000 records and 4 MiB by default. */
        public Builder capacity(int maxRecords, long maxBytes) {
            this.maxPendingRecords = maxRecords;
            this.maxPendingBytes = maxBytes;
            return this;
        }

        /** Sets the guard of the appends; by default, they are in no registry. */
        public Builder guard(LoopGuard value) {
            this.guard = Objects.requireNonNull(value, "guard");
            return this;
        }

        /** Returns the appender. */
        public BatchingAppender build() {
            return new BatchingAppender(this);
        }
    }
}
