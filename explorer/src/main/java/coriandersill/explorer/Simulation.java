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
 * Processes, links and a log in virtual time, under one seeded schedule; used by one thread.
 *
 * <pre>{@code
 * SimulatedProcess entry = simulation.process("entry-1");
 * simulation.send(entry, sidecar, () -> gate.admit(dispatch));
 * simulation.run(Duration.ofSeconds(60));
 * }</pre>
 */
public final class Simulation {
    private static final Instant START_TIME = Instant.parse("2026-01-01T00:00:00Z");
    private static final int MAX_DELAY_MILLIS = 30;
    private static final int MAX_STALL_MILLIS = 15_000;
    private static final double STALL_PROBABILITY = 0.04;
    private static final double MESSAGE_LOSS_PROBABILITY = 0.04;

    private final ManualClock clock = ManualClock.startingAt(START_TIME);
    private final ManualScheduler scheduler = ManualScheduler.of(clock);
    private final SplittableRandom random;
    private final List<SimulatedProcess> processes = new ArrayList<>();
    private final SimulatedLog log = new SimulatedLog(this);

    private Simulation(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** Returns the simulation of one schedule. */
    public static Simulation of(long seed) {
        return new Simulation(seed);
    }

    /** The virtual clock. */
    public ManualClock clock() {
        return clock;
    }

    /** The random source of the schedule. */
    public RandomGenerator random() {
        return random;
    }

    /** The log that all processes share. */
    public SimulatedLog log() {
        return log;
    }

    /** Returns a new running process. */
    public SimulatedProcess process(String name) {
        SimulatedProcess process = new SimulatedProcess(this, name);
        processes.add(process);
        return process;
    }

    /** Runs {@code task} after {@code delay}, whatever becomes of the processes. */
    public void after(Duration delay, Runnable task) {
        scheduler.schedule(delay, task);
    }

    /** Returns a time from zero up to {@code bound}. */
    public Duration randomDuration(Duration bound) {
        return Duration.ofMillis(random.nextLong(bound.toMillis() + 1));
    }

    /** Whether something of the given probability comes about. */
    public boolean randomBoolean(double probability) {
        return random.nextDouble() < probability;
    }

    /** Runs {@code task} at the receiver after the link's delay: a short one, sometimes a stall, sometimes never. */
    public void send(SimulatedProcess receiver, Runnable task) {
        deliver(() -> receiver.run(task));
    }

    /** Runs {@code task} after the link's delay, or never, for whoever receives at that time. */
    public void deliver(Runnable task) {
        if (!randomBoolean(MESSAGE_LOSS_PROBABILITY)) {
            after(linkDelay(), task);
        }
    }

    /** Lets virtual time pass. */
    public void run(Duration time) {
        scheduler.advance(time);
    }

    Duration linkDelay() {
        int bound = randomBoolean(STALL_PROBABILITY) ? MAX_STALL_MILLIS : MAX_DELAY_MILLIS;
        return Duration.ofMillis(random.nextInt(bound) + 1L);
    }

    ManualScheduler scheduler() {
        return scheduler;
    }
}
