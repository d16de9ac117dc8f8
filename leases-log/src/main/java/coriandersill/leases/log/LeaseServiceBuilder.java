package coriandersill.leases.log;

import coriandersill.core.MonotonicClock;
import coriandersill.events.EventLog;
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

/** Collects the settings of a {@link LeaseService}. */
public final class LeaseServiceBuilder {
    private static final LeaseListener NO_LISTENER = new LeaseListener() {
        @Override
        public void onWon(HeldLease lease) {
            // Nobody listens.
        }

        @Override
        public void onLost(LeaseName name) {
            // Nobody listens.
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
    LeaseListener listener = NO_LISTENER;
    TokenListener tokenListener = (name, token) -> {};
    Duration term = Duration.ofSeconds(10);
    Duration margin = Duration.ofSeconds(2);

    LeaseServiceBuilder(PlatformLog log, Scheduler scheduler, LeaseHolder holder) {
        this.log = Objects.requireNonNull(log, "log");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        this.holder = Objects.requireNonNull(holder, "holder");
    }

    /** The stream of leases; {@code leases} unless set. */
    public LeaseServiceBuilder stream(String value) {
        this.stream = Objects.requireNonNull(value, "stream");
        return this;
    }

    /** Where records are taken and listeners called; the log's own thread unless set. */
    public LeaseServiceBuilder executor(Executor value) {
        this.executor = Objects.requireNonNull(value, "executor");
        return this;
    }

    /** The clock by which a holder judges its own leases. */
    public LeaseServiceBuilder clock(MonotonicClock value) {
        this.clock = Objects.requireNonNull(value, "clock");
        return this;
    }

    /** The clock that tells when it is worth asking for a lease that another holds. */
    public LeaseServiceBuilder wallClock(InstantSource value) {
        this.wallClock = Objects.requireNonNull(value, "time");
        return this;
    }

    /** Where jitter comes from. */
    public LeaseServiceBuilder random(RandomGenerator value) {
        this.random = Objects.requireNonNull(value, "random");
        return this;
    }

    /** Where events go; nowhere unless set. */
    public LeaseServiceBuilder events(EventLog value) {
        this.events = Objects.requireNonNull(value, "events");
        return this;
    }

    /** Who hears of leases won and lost; nobody unless set. */
    public LeaseServiceBuilder listener(LeaseListener value) {
        this.listener = Objects.requireNonNull(value, "listener");
        return this;
    }

    /** Who hears the tokens of all leases; nobody unless set. */
    public LeaseServiceBuilder tokenListener(TokenListener value) {
        this.tokenListener = Objects.requireNonNull(value, "tokens");
        return this;
    }

    /** For how long a lease is held, and by how much sooner its holder stops; 10 s and 2 s unless set. */
    public LeaseServiceBuilder term(Duration value, Duration early) {
        if (early.isNegative() || early.compareTo(value.dividedBy(2)) > 0) {
            throw new IllegalArgumentException("margin: expected zero to half of " + value + ", found " + early);
        }
        this.term = value;
        this.margin = early;
        return this;
    }

    /** Returns the service. */
    public LeaseService build() {
        return new LeaseService(this);
    }
}
