package coriandersill.rollout.log;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.events.EventLog;
import coriandersill.events.Loops;
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

/** Builds a {@link RolloutService}. Methods throw {@link NullPointerException} if an object is null. */
public final class RolloutServiceBuilder {
    final InstanceId self;
    final long incarnation;
    final PlatformLog log;
    final Scheduler scheduler;
    InstantSource clock = InstantSource.system();
    Executor executor = Runnable::run;
    LeaseView leases = lease -> OptionalLong.empty();
    RolloutPeers peers = new NoPeers();
    RolloutConditions conditions = RolloutConditions.unrestricted();
    Supplier<Collection<AvailabilityZone>> zones = List::of;
    JudgeFactory judgeFactory = SequentialJudge.factory();
    Pacer pacer = DeadlinePacer.create();
    double falseAlarmRate = 0.002;
    EventLog events = EventLog.none();
    Loops loops = Loops.unobserved();
    Consumer<RolloutState> listener = state -> {};
    RandomGenerator random = RandomGenerator.getDefault();

    RolloutServiceBuilder(InstanceId self, long incarnation, PlatformLog log, Scheduler scheduler) {
        this.self = Objects.requireNonNull(self, "self");
        this.incarnation = incarnation;
        this.log = Objects.requireNonNull(log, "log");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    }

    /** Sets the wall clock; the system clock by default. */
    public RolloutServiceBuilder clock(InstantSource value) {
        this.clock = Objects.requireNonNull(value, "clock");
        return this;
    }

    /** Sets the executor that handles log records and ticks; the calling thread by default. */
    public RolloutServiceBuilder executor(Executor value) {
        this.executor = Objects.requireNonNull(value, "executor");
        return this;
    }

    /** Sets the view of held leases; none are held by default, and this process then takes no forward step. */
    public RolloutServiceBuilder leases(LeaseView value) {
        this.leases = Objects.requireNonNull(value, "leases");
        return this;
    }

    /** Sets the access to other processes; none by default. */
    public RolloutServiceBuilder peers(RolloutPeers value) {
        this.peers = Objects.requireNonNull(value, "peers");
        return this;
    }

    /** Sets the conditions of upstreams and zones; unrestricted by default. */
    public RolloutServiceBuilder conditions(RolloutConditions value) {
        this.conditions = Objects.requireNonNull(value, "conditions");
        return this;
    }

    /** Sets the zones in which services run; the pacer is told whether any of them is changing. None by default. */
    public RolloutServiceBuilder zones(Supplier<Collection<AvailabilityZone>> value) {
        this.zones = Objects.requireNonNull(value, "zones");
        return this;
    }

    /** Sets the factory of judges; that of {@link SequentialJudge} by default. */
    public RolloutServiceBuilder judgeFactory(JudgeFactory value) {
        this.judgeFactory = Objects.requireNonNull(value, "judgeFactory");
        return this;
    }

    /** Sets the pacer; {@link DeadlinePacer} by default. */
    public RolloutServiceBuilder pacer(Pacer value) {
        this.pacer = Objects.requireNonNull(value, "pacer");
        return this;
    }

    /** Sets the false alarm rate over a whole rollout; 0.002 by default. */
    public RolloutServiceBuilder falseAlarmRate(double value) {
        this.falseAlarmRate = value;
        return this;
    }

    /** Sets the event log; events are discarded by default. */
    public RolloutServiceBuilder events(EventLog value) {
        this.events = Objects.requireNonNull(value, "events");
        return this;
    }

    /** Sets the registry of the process's loops; by default, nobody observes them. */
    public RolloutServiceBuilder loops(Loops value) {
        this.loops = Objects.requireNonNull(value, "loops");
        return this;
    }

    /** Sets the listener for each new state according to the log, such as the audit trail; none by default. */
    public RolloutServiceBuilder listener(Consumer<RolloutState> value) {
        this.listener = Objects.requireNonNull(value, "listener");
        return this;
    }

    /** Sets the source of randomness for jitter; {@link RandomGenerator#getDefault} by default. */
    public RolloutServiceBuilder random(RandomGenerator value) {
        this.random = Objects.requireNonNull(value, "random");
        return this;
    }

    /** Returns a service that is not started. */
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
            throw new IllegalStateException("cannot send a rollout message to " + to + ": no peers are configured");
        }
    }
}
