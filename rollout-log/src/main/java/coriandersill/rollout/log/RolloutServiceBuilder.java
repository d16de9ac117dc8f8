package coriandersill.rollout.log;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.events.EventLog;
import coriandersill.rollout.DeadlinePacer;
import coriandersill.rollout.JudgeFactory;
import coriandersill.rollout.Pacer;
import coriandersill.rollout.RolloutState;
import coriandersill.rollout.SequentialJudge;
import coriandersill.sharedlog.PlatformLog;
import coriandersill.sharedlog.Scheduler;
import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** Collects the settings of a {@link RolloutService}; every method refuses null. */
public final class RolloutServiceBuilder {
    final InstanceId self;
    final long incarnation;
    final PlatformLog log;
    final Scheduler scheduler;
    InstantSource clock = InstantSource.system();
    Executor executor = Runnable::run;
    LeaseView leases = lease -> OptionalLong.empty();
    RolloutPeers peers = new NoPeers();
    RolloutSurroundings surroundings = RolloutSurroundings.free();
    Supplier<Collection<AvailabilityZone>> zones = List::of;
    JudgeFactory judge = SequentialJudge.factory();
    Pacer pacer = DeadlinePacer.create();
    double falseAlarmRate = 0.002;
    EventLog events = EventLog.none();
    Consumer<RolloutState> listener = state -> {};
    RandomGenerator random = RandomGenerator.getDefault();

    RolloutServiceBuilder(InstanceId self, long incarnation, PlatformLog log, Scheduler scheduler) {
        this.self = Objects.requireNonNull(self, "self");
        this.incarnation = incarnation;
        this.log = Objects.requireNonNull(log, "log");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    }

    /** The time of day; the machine's unless set. */
    public RolloutServiceBuilder clock(InstantSource value) {
        this.clock = Objects.requireNonNull(value, "clock");
        return this;
    }

    /** Where records are taken and ticks run; the calling thread unless set. */
    public RolloutServiceBuilder executor(Executor value) {
        this.executor = Objects.requireNonNull(value, "executor");
        return this;
    }

    /** The leases that this process holds; none unless set, and then it takes no forward step. */
    public RolloutServiceBuilder leases(LeaseView value) {
        this.leases = Objects.requireNonNull(value, "leases");
        return this;
    }

    /** The other processes; none unless set. */
    public RolloutServiceBuilder peers(RolloutPeers value) {
        this.peers = Objects.requireNonNull(value, "peers");
        return this;
    }

    /** What the upstreams and zones allow; everything unless set. */
    public RolloutServiceBuilder surroundings(RolloutSurroundings value) {
        this.surroundings = Objects.requireNonNull(value, "surroundings");
        return this;
    }

    /** The zones in which services run; a change in any of them holds forward steps. */
    public RolloutServiceBuilder zones(Supplier<Collection<AvailabilityZone>> value) {
        this.zones = Objects.requireNonNull(value, "zones");
        return this;
    }

    /** Who judges; {@link SequentialJudge} unless set. */
    public RolloutServiceBuilder judge(JudgeFactory value) {
        this.judge = Objects.requireNonNull(value, "judge");
        return this;
    }

    /** Who decides the steps; {@link DeadlinePacer} unless set. */
    public RolloutServiceBuilder pacer(Pacer value) {
        this.pacer = Objects.requireNonNull(value, "pacer");
        return this;
    }

    /** The false alarm rate over a whole rollout; 0.002 unless set. */
    public RolloutServiceBuilder falseAlarmRate(double value) {
        this.falseAlarmRate = value;
        return this;
    }

    /** Who takes events; nobody unless set. */
    public RolloutServiceBuilder events(EventLog value) {
        this.events = Objects.requireNonNull(value, "events");
        return this;
    }

    /** Who hears of each new state by the log, such as the audit trail; nobody unless set. */
    public RolloutServiceBuilder listener(Consumer<RolloutState> value) {
        this.listener = Objects.requireNonNull(value, "listener");
        return this;
    }

    /** Where jitter comes from. */
    public RolloutServiceBuilder random(RandomGenerator value) {
        this.random = Objects.requireNonNull(value, "random");
        return this;
    }

    /** Returns the service, not started. */
    public RolloutService build() {
        return new RolloutService(this);
    }

    private final class NoPeers implements RolloutPeers {
        @Override
        public Collection<InstanceId> entries() {
            return List.of(self);
        }

        @Override
        public void send(InstanceId to, byte[] message) {
            throw new IllegalStateException("peers: expected to be set before a message to " + to);
        }
    }
}
