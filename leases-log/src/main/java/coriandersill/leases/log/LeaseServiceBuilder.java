package coriandersill.leases.log;

import coriandersill.core.MonotonicClock;
import coriandersill.events.EventLog;
import coriandersill.events.Loops;
import coriandersill.leases.HeldLease;
import coriandersill.leases.LeaseHolder;
import coriandersill.leases.LeaseName;
import coriandersill.sharedlog.PlatformLog;
import coriandersill.sharedlog.Scheduler;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;

/** Builds a {@link LeaseService}. */
public final class LeaseServiceBuilder {
    private static final LeaseListener NO_LISTENER = new LeaseListener() {
        @Override
        public void onWon(HeldLease lease) {
            // The default listener ignores leases.
        }

        @Override
        public void onLost(LeaseName name) {
            // The default listener ignores leases.
        }
    };

    final PlatformLog log;
    final Scheduler scheduler;
    final LeaseHolder holder;
    String stream = "leases";
    Executor executor = Runnable::run;
    MonotonicClock clock = MonotonicClock.system();
    InstantSource wallClock = InstantSource.system();
    RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
    EventLog events = EventLog.none();
    Loops loops = Loops.unobserved();
    LeaseListener listener = NO_LISTENER;
    TokenListener tokenListener = (name, token) -> {};
    Duration term = Duration.ofSeconds(10);
    Duration stopMargin = Duration.ofSeconds(2);

    LeaseServiceBuilder(PlatformLog log, Scheduler scheduler, LeaseHolder holder) {
        this.log = Objects.requireNonNull(log, "log");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        this.holder = Objects.requireNonNull(holder, "holder");
    }

    /** Sets the name of the leases stream; the default is {@code leases}. */
    public LeaseServiceBuilder stream(String value) {
        this.stream = Objects.requireNonNull(value, "stream");
        return this;
    }

    /** Sets the executor that applies records and reports their effects to listeners; by default, the log's thread. */
    public LeaseServiceBuilder executor(Executor value) {
        this.executor = Objects.requireNonNull(value, "executor");
        return this;
    }

    /** Sets the clock that determines how long this process may use its own leases. */
    public LeaseServiceBuilder clock(MonotonicClock value) {
        this.clock = Objects.requireNonNull(value, "clock");
        return this;
    }

    /**
     * Sets the clock that determines when to request a lease that another process holds, and until when unknown leases
     * count as held after records were lost.
     */
    public LeaseServiceBuilder wallClock(InstantSource value) {
        this.wallClock = Objects.requireNonNull(value, "wallClock");
        return this;
    }

    /** Sets the source of randomness for jitter and the marker. */
    public LeaseServiceBuilder random(RandomGenerator value) {
        this.random = Objects.requireNonNull(value, "random");
        return this;
    }

    /** Sets the registry of the process's loops; by default, nobody observes them. */
    public LeaseServiceBuilder loops(Loops value) {
        this.loops = Objects.requireNonNull(value, "loops");
        return this;
    }

    /** Sets the event log; by default, events are discarded. */
    public LeaseServiceBuilder events(EventLog value) {
        this.events = Objects.requireNonNull(value, "events");
        return this;
    }

    /** Sets the listener for leases that this process acquires or loses; the default ignores them. */
    public LeaseServiceBuilder listener(LeaseListener value) {
        this.listener = Objects.requireNonNull(value, "listener");
        return this;
    }

    /** Sets the listener for the fencing tokens of all leases; the default ignores them. */
    public LeaseServiceBuilder tokenListener(TokenListener value) {
        this.tokenListener = Objects.requireNonNull(value, "tokenListener");
        return this;
    }

    /** Sets the term of a lease and how much earlier its holder stops acting; the defaults are 10 s and 2 s. */
    public LeaseServiceBuilder term(Duration value, Duration stopMargin) {
        if (stopMargin.isNegative() || stopMargin.compareTo(value.dividedBy(2)) > 0) {
            throw new IllegalArgumentException(
                    "stopMargin: expected zero to half of the term " + value + ", found " + stopMargin);
        }
        this.term = value;
        this.stopMargin = stopMargin;
        return this;
    }

    /** Returns the service. */
    public LeaseService build() {
        return new LeaseService(this);
    }
}
