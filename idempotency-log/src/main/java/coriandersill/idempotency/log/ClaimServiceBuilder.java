package coriandersill.idempotency.log;

import coriandersill.core.InstanceId;
import coriandersill.core.MonotonicClock;
import coriandersill.events.EventLog;
import coriandersill.idempotency.KeyWindow;
import coriandersill.sharedlog.BatchingAppender;
import coriandersill.sharedlog.PlatformLog;
import coriandersill.sharedlog.Scheduler;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;

/** Collects the settings of a {@link ClaimService}. */
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
    KeyWindow window = KeyWindow.ofOneDay();
    int maxKeys = 1_000_000;
    long maxBodyBytes = 32L << 20;
    int maxStoredBodyBytes = 1024;
    Duration claimTimeout = Duration.ofSeconds(2);
    final Duration settlementWait = Duration.ofSeconds(30);

    Duration claimInterval = Duration.ofMillis(10);
    Duration settlementInterval = Duration.ofMillis(100);
    private Duration logRetention = Duration.ofDays(7);

    ClaimServiceBuilder(PlatformLog log, Scheduler scheduler, InstanceId instance, long incarnation) {
        this.log = Objects.requireNonNull(log, "log");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        this.instance = Objects.requireNonNull(instance, "instance");
        this.incarnation = incarnation;
    }

    /** The stream of claims; {@code claims} unless set. */
    public ClaimServiceBuilder stream(String value) {
        this.stream = Objects.requireNonNull(value, "stream");
        return this;
    }

    /** Where records are taken and futures completed; the log's own thread unless set. */
    public ClaimServiceBuilder executor(Executor value) {
        this.executor = Objects.requireNonNull(value, "executor");
        return this;
    }

    /** The clock by which a holder judges its own claims. */
    public ClaimServiceBuilder clock(MonotonicClock value) {
        this.clock = Objects.requireNonNull(value, "clock");
        return this;
    }

    /** The clock that tells whether a repeat hears "in progress" or "unknown". */
    public ClaimServiceBuilder wallClock(InstantSource value) {
        this.wallClock = Objects.requireNonNull(value, "time");
        return this;
    }

    /** Draws the identities of claims; safe for use by many threads and not repeated by another start. */
    public ClaimServiceBuilder random(RandomGenerator value) {
        this.random = Objects.requireNonNull(value, "random");
        return this;
    }

    /** Where events go; nowhere unless set. */
    public ClaimServiceBuilder events(EventLog value) {
        this.events = Objects.requireNonNull(value, "events");
        return this;
    }

    /** The window of keys and the time for which the log keeps records; 24 hours and 7 days unless set. */
    public ClaimServiceBuilder window(KeyWindow value, Duration retention) {
        this.window = Objects.requireNonNull(value, "window");
        this.logRetention = Objects.requireNonNull(retention, "retention");
        return this;
    }

    /** How many keys are remembered and how many bytes of bodies; 1,000,000 and 32 MiB unless set. */
    public ClaimServiceBuilder capacity(int keys, long bodyBytes) {
        this.maxKeys = keys;
        this.maxBodyBytes = bodyBytes;
        return this;
    }

    /** The longest body of an outcome that is kept, in bytes; 1,024 unless set. */
    public ClaimServiceBuilder maxStoredBodyBytes(int bytes) {
        this.maxStoredBodyBytes = bytes;
        return this;
    }

    /** How long a claim may take before its call is refused; 2 s unless set. */
    public ClaimServiceBuilder claimTimeout(Duration value) {
        this.claimTimeout = Objects.requireNonNull(value, "claimWait");
        return this;
    }

    /**
     * How long the first record of a batch waits for others: of claims, which callers wait for, and of outcomes and
     * releases; 10 ms and 100 ms unless set. They bound the appends of this process.
     */
    public ClaimServiceBuilder batchIntervals(Duration claims, Duration settlements) {
        this.claimInterval = Objects.requireNonNull(claims, "claims");
        this.settlementInterval = Objects.requireNonNull(settlements, "settlements");
        return this;
    }

    /** Returns the service; throws {@link IllegalArgumentException} when the log forgets before the window ends. */
    public ClaimService build() {
        Duration needed = window.retention().plus(window.maxClockSkew());
        if (logRetention.compareTo(needed) <= 0) {
            throw new IllegalArgumentException(
                    "log retention: expected more than " + needed + " for the window of keys, found " + logRetention);
        }
        return new ClaimService(this);
    }

    BatchingAppender appender(Duration interval, Duration maxWait) {
        return BatchingAppender.builder(log, stream, scheduler)
                .executor(executor)
                .random(random)
                .clock(clock)
                .interval(interval)
                .maxWait(maxWait)
                .build();
    }
}
