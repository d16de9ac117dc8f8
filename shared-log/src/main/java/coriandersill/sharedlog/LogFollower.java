package coriandersill.sharedlog;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.ManagedService;
import coriandersill.core.MonotonicClock;
import coriandersill.events.LoopGuard;
import coriandersill.events.Loops;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Follows one stream of the log from a start offset and delivers its records in order.
 *
 * <pre>{@code
 * LogFollower follower = LogFollower.builder(log, "configuration", scheduler)
 *         .startOffset(0)
 *         .executor(workers)
 *         .handler(record -> table.apply(record))
 *         .notices(notice -> events.record(...))
 *         .build();
 * follower.start();
 * }</pre>
 *
 * <p>One read is in flight at a time, and its response is processed on the executor before the next read is sent, so
 * that the handler and the notice consumer are never called concurrently. No thread blocks. After a failure the same
 * offset is read again with {@link Backoff}, and with fewer records, in case the answer was too large. A record is
 * delivered at most once, unless the stream's offsets restart.
 */
public final class LogFollower implements ManagedService {
    /** The time without progress from which reads count as stalled: longer than a long poll and the longest delay. */
    public static final Duration STALL_BOUND = Duration.ofSeconds(20);

    /** The delay after an empty page; prevents a busy loop if the log responds without a long poll. */
    private static final Duration EMPTY_PAGE_DELAY = Duration.ofMillis(20);

    private final PlatformLog log;
    private final String stream;
    private final Scheduler scheduler;
    private final Executor executor;
    private final LogHandler handler;
    private final Consumer<LogNotice> notices;
    private final Backoff backoff;
    private final RandomGenerator random;
    private final MonotonicClock clock;
    private final LoopGuard guard;
    private final ReadSize readSize;

    private final CompletableFuture<Void> caughtUp = new CompletableFuture<>();
    private final AtomicInteger consecutiveFailures = new AtomicInteger();

    private volatile long nextOffset;
    private volatile long knownEndOffset;
    private volatile long lastResponseNanos;
    private volatile boolean running;

    private LogFollower(Builder builder) {
        this.log = builder.log;
        this.stream = builder.stream;
        this.scheduler = builder.scheduler;
        this.executor = builder.executor;
        this.handler = Objects.requireNonNull(builder.handler, "handler");
        this.notices = builder.notices;
        this.backoff = builder.backoff;
        this.random = builder.random;
        this.clock = builder.clock;
        this.guard = builder.guard;
        this.readSize = new ReadSize(builder.maxRecordsPerRead);
        this.nextOffset = builder.startOffset;
        this.knownEndOffset = builder.startOffset;
        this.lastResponseNanos = builder.clock.nanos();
    }

    /** Returns a builder for a follower of {@code stream}. */
    public static Builder builder(PlatformLog log, String stream, Scheduler scheduler) {
        return new Builder(log, stream, scheduler);
    }

    /** Starts to read; the future completes immediately, see {@link #caughtUp()}. */
    @Override
    public CompletableFuture<Void> start() {
        running = true;
        guard.begin();
        read();
        return CompletableFuture.completedFuture(null);
    }

    /** Stops reading; a response that arrives later is dropped. */
    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        running = false;
        guard.rest();
        return CompletableFuture.completedFuture(null);
    }

    /**
     * Returns a future that completes when the follower first reaches the end of the stream: it has delivered every
     * record before the end that the latest response reported.
     */
    public CompletableFuture<Void> caughtUp() {
        return caughtUp.copy();
    }

    /**
     * Returns the offset before the next one to read: that of the last delivered record, unless none was delivered yet,
     * records were deleted before they were read, or the stream's offsets restarted.
     */
    public long lastDeliveredOffset() {
        return nextOffset - 1;
    }

    /** Returns how far this follower is behind the log, according to the last response. */
    public Lag lag() {
        return new Lag(Math.max(0, knownEndOffset - nextOffset), Duration.ofNanos(clock.nanos() - lastResponseNanos));
    }

    /**
     * The distance of a follower from the end of the stream.
     *
     * @param records the number of records that the log is known to have and that were not delivered
     * @param sinceLastResponse the time since the last response of the log; on a stream without appends, the log
     *     responds once per long-poll timeout
     */
    public record Lag(long records, Duration sinceLastResponse) {}

    private void read() {
        if (running) {
            runStep(() -> {
                CompletableFuture<LogPage> unused = log.read(stream, nextOffset, readSize.records())
                        .whenComplete((page, error) -> dispatch(() -> runStep(() -> onResponse(page, error))));
            });
        }
    }

    /** Runs a step, which schedules the next one; after an unexpected error the same offset is read again. */
    private void runStep(Runnable step) {
        guard.run(
                () -> {
                    try {
                        step.run();
                    } catch (Throwable error) {
                        notices.accept(new LogNotice.Unavailable(CallFailure.from(error)));
                        throw error;
                    }
                },
                this::retryLater);
    }

    /** Runs a task on the executor; if that is not possible, the response is dropped and the same offset read again. */
    private void dispatch(Runnable task) {
        if (running) {
            guard.run(() -> executor.execute(task), this::retryLater);
        }
    }

    private void onResponse(LogPage page, Throwable error) {
        if (!running) {
            return;
        }
        if (error != null) {
            onReadFailed(error);
            return;
        }
        if (consecutiveFailures.getAndSet(0) > 0) {
            notices.accept(new LogNotice.Available());
        }
        readSize.onSuccess();
        lastResponseNanos = clock.nanos();
        long previousOffset = nextOffset;
        deliver(page);
        guard.markProgress();
        if (page.records().isEmpty() && nextOffset == previousOffset) {
            scheduler.schedule(EMPTY_PAGE_DELAY, this::read);
        } else {
            read();
        }
    }

    private void onReadFailed(Throwable error) {
        CallFailure failure = CallFailure.from(error);
        if (failure.kind() == ErrorKind.INTERNAL) {
            // The log has answered; what it said cannot be read.
            guard.fail(error);
        } else {
            guard.markProgress();
        }
        if (consecutiveFailures.get() == 0) {
            notices.accept(new LogNotice.Unavailable(failure));
        }
        readSize.onFailure();
        retryLater();
    }

    private void retryLater() {
        scheduler.schedule(backoff.delay(consecutiveFailures.incrementAndGet(), random), this::read);
    }

    private void deliver(LogPage page) {
        if (page.end() < nextOffset) {
            notices.accept(new LogNotice.Restarted(nextOffset, page.end()));
            nextOffset = page.oldest();
        } else if (page.oldest() > nextOffset) {
            notices.accept(new LogNotice.Trimmed(nextOffset, page.oldest()));
            nextOffset = page.oldest();
        }
        knownEndOffset = page.end();
        for (LogRecord record : page.records()) {
            deliver(record);
        }
        if (nextOffset >= knownEndOffset) {
            readSize.onEndReached();
            caughtUp.complete(null);
        }
    }

    private void deliver(LogRecord record) {
        if (record.offset() < nextOffset) {
            notices.accept(new LogNotice.Repeated(record.offset()));
            return;
        }
        if (record.offset() > nextOffset) {
            notices.accept(new LogNotice.Gap(nextOffset, record.offset()));
        }
        try {
            handler.handle(record);
        } catch (RuntimeException | StackOverflowError e) {
            notices.accept(new LogNotice.HandlerFailed(record.offset(), CallFailure.from(e)));
        }
        nextOffset = record.offset() + 1;
    }

    /** Collects the settings of a {@link LogFollower}. */
    public static final class Builder {
        private final PlatformLog log;
        private final String stream;
        private final Scheduler scheduler;
        private Executor executor = Runnable::run;
        private LogHandler handler;
        private Consumer<LogNotice> notices = notice -> {};
        private Backoff backoff = Backoff.standard();
        private RandomGenerator random = RandomGenerator.getDefault();
        private MonotonicClock clock = MonotonicClock.system();
        private int maxRecordsPerRead = 500;
        private long startOffset;
        private LoopGuard guard;

        private Builder(PlatformLog log, String stream, Scheduler scheduler) {
            this.log = Objects.requireNonNull(log, "log");
            this.stream = Objects.requireNonNull(stream, "stream");
            this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
            this.guard = Loops.unobserved().register("reads of " + stream, STALL_BOUND);
        }

        /** Sets the first offset to read; 0 by default. */
        public Builder startOffset(long offset) {
            this.startOffset = offset;
            return this;
        }

        /** Sets the executor on which records are delivered; the thread of the log by default. */
        public Builder executor(Executor value) {
            this.executor = Objects.requireNonNull(value, "executor");
            return this;
        }

        /** Sets the handler of the records; required. */
        public Builder handler(LogHandler value) {
            this.handler = Objects.requireNonNull(value, "handler");
            return this;
        }

        /** Sets the consumer of the notices; they are ignored by default. */
        public Builder notices(Consumer<LogNotice> value) {
            this.notices = Objects.requireNonNull(value, "notices");
            return this;
        }

        /** Sets the delays after failures; {@link Backoff#standard()} by default. */
        public Builder backoff(Backoff value) {
            this.backoff = Objects.requireNonNull(value, "backoff");
            return this;
        }

        /** Sets the random generator for the jitter of the backoff. */
        public Builder random(RandomGenerator value) {
            this.random = Objects.requireNonNull(value, "random");
            return this;
        }

        /** Sets the clock of {@link #lag()}. */
        public Builder clock(MonotonicClock value) {
            this.clock = Objects.requireNonNull(value, "clock");
            return this;
        }

        /** Sets the guard of the reads; by default, they are in no registry. */
        public Builder guard(LoopGuard value) {
            this.guard = Objects.requireNonNull(value, "guard");
            return this;
        }

        /** Sets the maximum number of records in one read; 500 by default. */
        public Builder maxRecordsPerRead(int value) {
            this.maxRecordsPerRead = value;
            return this;
        }

        /** Returns the follower; throws {@link NullPointerException} if no handler is set. */
        public LogFollower build() {
            return new LogFollower(this);
        }
    }
}
