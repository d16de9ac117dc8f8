package coriandersill.idempotency.log;

import coriandersill.core.InstanceId;
import coriandersill.core.MonotonicClock;
import coriandersill.events.EventLog;
import coriandersill.events.Loops;
import coriandersill.idempotency.KeyWindow;
import coriandersill.sharedlog.BatchingAppender;
import coriandersill.sharedlog.PlatformLog;
import coriandersill.sharedlog.Scheduler;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;

/** Builds a {@link ClaimService}. */
public final class ClaimServiceBuilder {
    final PlatformLog log;
    final Scheduler scheduler;
    final InstanceId instance;
    final long incarnation;
    String stream = "claims";
    Executor executor = Runnable::run;
    MonotonicClock clock = MonotonicClock.system();
    InstantSource wallClock = InstantSource.system();
    RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
    EventLog events = EventLog.none();
    Loops loops = Loops.unobserved();
    KeyWindow window = KeyWindow.ofOneDay();
    int maxKeys = 1_000_000;
    long maxTotalBodyBytes = 32L << 20;
    int maxStoredBodyBytes = 1024;
    Duration claimTimeout = Duration.ofSeconds(2);
    final Duration settlementTimeout = Duration.ofSeconds(30);

    Duration claimBatchInterval = Duration.ofMillis(10);
    Duration settlementBatchInterval = Duration.ofMillis(100);
    private Duration logRetention = Duration.ofDays(7);

    ClaimServiceBuilder(PlatformLog log, Scheduler scheduler, InstanceId instance, long incarnation) {
        this.log = Objects.requireNonNull(log, "log");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        this.instance = Objects.requireNonNull(instance, "instance");
        this.incarnation = incarnation;
    }

    /** Sets the name of the claims stream; the default is {@code claims}. */
    public ClaimServiceBuilder stream(String value) {
        this.stream = Objects.requireNonNull(value, "stream");
        return this;
    }

    /**
     * Sets the executor that applies records and completes futures; by default, both run on the thread that completes
     * the futures of the log.
     */
    public ClaimServiceBuilder executor(Executor value) {
        this.executor = Objects.requireNonNull(value, "executor");
        return this;
    }

    /** Sets the clock that determines how long this process may use its own claims. */
    public ClaimServiceBuilder clock(MonotonicClock value) {
        this.clock = Objects.requireNonNull(value, "clock");
        return this;
    }

    /**
     * Sets the clock that decides whether a repeated call is told "in progress" or "unknown", and which keys are
     * refused after records were lost.
     */
    public ClaimServiceBuilder wallClock(InstantSource value) {
        this.wallClock = Objects.requireNonNull(value, "wallClock");
        return this;
    }

    /** Sets the generator of claim identifiers; must be thread-safe and must not repeat its values after a restart. */
    public ClaimServiceBuilder random(RandomGenerator value) {
        this.random = Objects.requireNonNull(value, "random");
        return this;
    }

    /** Sets the event log; by default, events are discarded. */
    public ClaimServiceBuilder events(EventLog value) {
        this.events = Objects.requireNonNull(value, "events");
        return this;
    }

    /** Sets the registry of the process's loops. */
    public ClaimServiceBuilder loops(Loops value) {
        this.loops = Objects.requireNonNull(value, "loops");
        return this;
    }

    /** Sets the key window and the retention of the log; the defaults are 24 hours and 7 days. */
    public ClaimServiceBuilder window(KeyWindow value, Duration platformLogRetention) {
        this.window = Objects.requireNonNull(value, "window");
        this.logRetention = Objects.requireNonNull(platformLogRetention, "platformLogRetention");
        return this;
    }

    /**
     * Sets the maximum number of keys and the maximum total size of stored outcomes with a body; the defaults are
     * 1,000,000 and 32 MiB.
     */
    public ClaimServiceBuilder capacity(int maxKeys, long maxTotalBodyBytes) {
        this.maxKeys = maxKeys;
        this.maxTotalBodyBytes = maxTotalBodyBytes;
        return this;
    }

    /** Sets the maximum size of a stored response body in bytes; the default is 1,024. */
    public ClaimServiceBuilder maxStoredBodyBytes(int bytes) {
        this.maxStoredBodyBytes = bytes;
        return this;
    }

    /** Sets how long a claim may take before its call is refused; the default is 2 s. */
    public ClaimServiceBuilder claimTimeout(Duration value) {
        this.claimTimeout = Objects.requireNonNull(value, "claimTimeout");
        return this;
    }

    /**
     * Sets how long the first record of a batch waits for more: for claims, which callers wait for, and for releases
     * and outcomes. The defaults are 10 ms and 100 ms. The intervals bound the rate of appends of this process.
     */
    public ClaimServiceBuilder batchIntervals(Duration claimInterval, Duration settlementInterval) {
        this.claimBatchInterval = Objects.requireNonNull(claimInterval, "claimInterval");
        this.settlementBatchInterval = Objects.requireNonNull(settlementInterval, "settlementInterval");
        return this;
    }

    /**
     * Returns the service; throws {@link IllegalArgumentException} if the log retention is too short for the window.
     */
    public ClaimService build() {
        Duration minRetention = window.retention().plus(window.maxClockSkew());
        if (logRetention.compareTo(minRetention) <= 0) {
            throw new IllegalArgumentException(
                    "log retention: expected more than " + minRetention + " for the key window, found " + logRetention);
        }
        return new ClaimService(this);
    }

    BatchingAppender appender(String records, Duration linger, Duration maxWait) {
        return BatchingAppender.builder(log, stream, scheduler)
                .executor(executor)
                .random(random)
                .clock(clock)
                .guard(loops.register("appends of " + records, BatchingAppender.STALL_BOUND))
                .linger(linger)
                .maxWait(maxWait)
                .build();
    }
}
