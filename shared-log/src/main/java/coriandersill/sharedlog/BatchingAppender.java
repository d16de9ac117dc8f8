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
        GATHERING,
        SENDING
    }

    private final PlatformLog log;
    private final String stream;
    private final Scheduler scheduler;
    private final Executor executor;
    private final Backoff backoff;
    private final RandomGenerator random;
    private final MonotonicClock clock;
    private final Duration interval;
    private final Duration maxWait;
    private final int maxBatch;
    private final int maxRecords;
    private final long maxBytes;

    private final RankedLock lock = RankedLock.of(LockRank.AUDIT);
    private final Deque<Entry> queue = new ArrayDeque<>();
    private State state = State.IDLE;
    private int heldRecords;
    private long heldBytes;
    private int failures;

    private BatchingAppender(Builder builder) {
        this.log = builder.log;
        this.stream = builder.stream;
        this.scheduler = builder.scheduler;
        this.executor = builder.executor;
        this.backoff = builder.backoff;
        this.random = builder.random;
        this.clock = builder.clock;
        this.interval = builder.interval;
        this.maxWait = builder.maxWait;
        this.maxBatch = builder.maxBatch;
        this.maxRecords = builder.maxRecords;
        this.maxBytes = builder.maxBytes;
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
        Entry entry =
                new Entry(Objects.requireNonNull(data, "data"), Objects.requireNonNull(mode, "mode"), clock.nanos());
        State before = lock.with(() -> offer(entry));
        if (before == null) {
            return CallFailure.of(ErrorKind.LOG_UNAVAILABLE, "queue of stream " + stream + " is full")
                    .withRetryAfter(backoff.first())
                    .asFuture();
        }
        if (before == State.IDLE) {
            scheduler.schedule(interval, this::send);
        } else if (before == State.GATHERING && queuedBatch()) {
            send();
        }
        return entry.offset;
    }

    /** How many records wait or are under way. */
    public int pending() {
        return lock.with(() -> heldRecords);
    }

    private State offer(Entry entry) {
        if (heldRecords >= maxRecords || heldBytes + entry.data.length > maxBytes) {
            return null;
        }
        State before = state;
        heldRecords++;
        heldBytes += entry.data.length;
        queue.add(entry);
        if (state == State.IDLE) {
            state = State.GATHERING;
        }
        return before;
    }

    private boolean queuedBatch() {
        return lock.with(() -> queue.size() >= maxBatch);
    }

    private void send() {
        if (lock.with(() -> state != State.GATHERING)) {
            return;
        }
        List<Entry> expired = new ArrayList<>();
        List<Entry> batch = lock.with(() -> takeBatch(expired));
        fail(expired, "waited longer than " + maxWait, Ran.NO);
        if (batch.isEmpty()) {
            return;
        }
        List<byte[]> records = batch.stream().map(entry -> entry.data).toList();
        CompletableFuture<Long> unused = log.append(stream, records)
                .whenComplete((first, error) -> dispatch(() -> onAnswer(batch, first, error)));
    }

    private List<Entry> takeBatch(List<Entry> expired) {
        if (state != State.GATHERING) {
            return List.of();
        }
        long oldest = clock.nanos() - maxWait.toNanos();
        remove(entry -> entry.queuedNanos < oldest, expired);
        List<Entry> batch = new ArrayList<>();
        while (!queue.isEmpty()
                && batch.size() < maxBatch
                && (batch.isEmpty() || batch.get(0).mode == queue.peek().mode)) {
            batch.add(queue.poll());
        }
        state = batch.isEmpty() ? State.IDLE : State.SENDING;
        return batch;
    }

    private void remove(Predicate<Entry> condition, List<Entry> removed) {
        for (Iterator<Entry> entries = queue.iterator(); entries.hasNext(); ) {
            Entry entry = entries.next();
            if (condition.test(entry)) {
                entries.remove();
                removed.add(entry);
                forget(entry);
            }
        }
    }

    private void forget(Entry entry) {
        heldRecords--;
        heldBytes -= entry.data.length;
    }

    private void onAnswer(List<Entry> batch, Long first, Throwable error) {
        if (error == null) {
            lock.run(() -> {
                failures = 0;
                batch.forEach(this::forget);
                state = queue.isEmpty() ? State.IDLE : State.GATHERING;
            });
            for (int i = 0; i < batch.size(); i++) {
                batch.get(i).offset.complete(first + i);
            }
            send();
        } else {
            onFailure(batch, CallFailure.from(error));
        }
    }

    private void onFailure(List<Entry> batch, CallFailure failure) {
        Ran ran = failure.ran() == Ran.NO ? Ran.NO : Ran.UNKNOWN;
        List<Entry> given = new ArrayList<>();
        Duration delay = lock.with(() -> {
            failures++;
            if (batch.get(0).mode == AppendMode.AT_MOST_ONCE) {
                given.addAll(batch);
                batch.forEach(this::forget);
            } else {
                requeue(batch, ran);
            }
            if (ran == Ran.NO) {
                remove(entry -> entry.mode == AppendMode.AT_MOST_ONCE, given);
            }
            state = queue.isEmpty() ? State.IDLE : State.SENDING;
            return state == State.IDLE ? null : backoff.delay(failures, random);
        });
        if (delay != null) {
            scheduler.schedule(delay, this::resume);
        }
        fail(given, failure.getMessage(), ran);
    }

    private void requeue(List<Entry> batch, Ran ran) {
        for (int i = batch.size() - 1; i >= 0; i--) {
            batch.get(i).mayBeTaken |= ran != Ran.NO;
            queue.addFirst(batch.get(i));
        }
    }

    private void resume() {
        lock.run(() -> state = State.GATHERING);
        send();
    }

    private void fail(List<Entry> entries, String reason, Ran ran) {
        for (Entry entry : entries) {
            CallFailure failure = CallFailure.of(ErrorKind.LOG_UNAVAILABLE, "append to " + stream + ": " + reason)
                    .withRan(entry.mayBeTaken ? Ran.UNKNOWN : ran);
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

    private static final class Entry {
        private final byte[] data;
        private final AppendMode mode;
        private final long queuedNanos;
        private final CompletableFuture<Long> offset = new CompletableFuture<>();
        private boolean mayBeTaken;

        private Entry(byte[] data, AppendMode mode, long queuedNanos) {
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
        private Duration interval = Duration.ofMillis(2);
        private Duration maxWait = Duration.ofSeconds(5);
        private int maxBatch = 200;
        private int maxRecords = 10_000;
        private long maxBytes = 4L << 20;

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
        public Builder interval(Duration value) {
            this.interval = Objects.requireNonNull(value, "interval");
            return this;
        }

        /** How long a record may wait to be sent, or sent again; 5 s unless set. */
        public Builder maxWait(Duration value) {
            this.maxWait = Objects.requireNonNull(value, "maxWait");
            return this;
        }

        /** The most records of one append; 200 unless set. */
        public Builder maxBatch(int value) {
            this.maxBatch = value;
            return this;
        }

        /** The bounds of the queue, records under way included; 10,000 records and 4 MiB unless set. */
        public Builder capacity(int records, long bytes) {
            this.maxRecords = records;
            this.maxBytes = bytes;
            return this;
        }

        /** Returns the appender. */
        public BatchingAppender build() {
            return new BatchingAppender(this);
        }
    }
}
