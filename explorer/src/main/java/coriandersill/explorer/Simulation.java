package coriandersill.explorer;

import coriandersill.core.ManualClock;
import coriandersill.sharedlog.ManualScheduler;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Simulates processes, network links and a shared log in virtual time under one seeded schedule. Not thread-safe.
 *
 * <pre>{@code
 * SimulatedProcess sidecar = simulation.startProcess("sidecar-1");
 * simulation.send(sidecar, () -> gate.admit(dispatch));
 * simulation.run(Duration.ofSeconds(60));
 * }</pre>
 */
public final class Simulation {
    private static final Instant START_TIME = Instant.parse("2026-01-01T00:00:00Z");
    private static final int MAX_LINK_DELAY_MILLIS = 30;
    private static final int MAX_STALLED_LINK_DELAY_MILLIS = 15_000;
    /** The probability that a message is delayed by up to {@link #MAX_STALLED_LINK_DELAY_MILLIS}. */
    private static final double LINK_STALL_PROBABILITY = 0.04;

    private static final double MESSAGE_LOSS_PROBABILITY = 0.04;

    private final ManualClock clock = ManualClock.startingAt(START_TIME);
    private final ManualScheduler scheduler = ManualScheduler.of(clock);
    private final SplittableRandom random;
    private final List<SimulatedProcess> processes = new ArrayList<>();
    private final SimulatedLog log = new SimulatedLog(this);

    private Simulation(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** Returns a simulation whose schedule is determined by {@code seed}. */
    public static Simulation of(long seed) {
        return new Simulation(seed);
    }

    /** The virtual clock. */
    public ManualClock clock() {
        return clock;
    }

    /** The random generator that determines the schedule. */
    public RandomGenerator random() {
        return random;
    }

    /** The log shared by all processes. */
    public SimulatedLog log() {
        return log;
    }

    /** Starts a new process. */
    public SimulatedProcess startProcess(String name) {
        SimulatedProcess process = new SimulatedProcess(this, name);
        processes.add(process);
        return process;
    }

    /** Runs {@code task} after {@code delay}, independently of process pauses and crashes. */
    public void schedule(Duration delay, Runnable task) {
        scheduler.schedule(delay, task);
    }

    /** Returns a random duration from zero to {@code max}, inclusive, in whole milliseconds. */
    public Duration randomDuration(Duration max) {
        return Duration.ofMillis(random.nextLong(max.toMillis() + 1));
    }

    /** Returns true with the given probability. */
    public boolean randomBoolean(double probability) {
        return random.nextDouble() < probability;
    }

    /** Runs {@code task} in the receiver after a random link delay, which may be long; the message may also be lost. */
    public void send(SimulatedProcess receiver, Runnable task) {
        deliver(() -> receiver.run(task));
    }

    /**
     * Runs {@code task} after a random link delay, unless the message is lost; the task chooses the receiver when it
     * runs.
     */
    public void deliver(Runnable task) {
        if (!randomBoolean(MESSAGE_LOSS_PROBABILITY)) {
            schedule(linkDelay(), task);
        }
    }

    /** Advances virtual time by {@code duration} and runs the tasks that become due. */
    public void run(Duration duration) {
        scheduler.advance(duration);
    }

    Duration linkDelay() {
        int maxMillis = randomBoolean(LINK_STALL_PROBABILITY) ? MAX_STALLED_LINK_DELAY_MILLIS : MAX_LINK_DELAY_MILLIS;
        return Duration.ofMillis(random.nextInt(maxMillis) + 1L);
    }

    ManualScheduler scheduler() {
        return scheduler;
    }
}
