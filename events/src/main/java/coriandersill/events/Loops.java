package coriandersill.events;

import coriandersill.core.MonotonicClock;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The loops of one process, that is, everything that it does again and again without being asked.
 *
 * <pre>{@code
 * Loops loops = Loops.create(MonotonicClock.system(), events);
 * LoopGuard guard = loops.register("joins", Duration.ofSeconds(10));
 * vertx.setPeriodic(2_000, timer -> guard.runPeriodic(this::join));
 * }</pre>
 *
 * <p>A loop without progress is reported by {@link #check}, which must be called several times a second. Thread-safe.
 */
public final class Loops {
    private final MonotonicClock clock;
    private final EventLog events;
    private final List<LoopGuard> guards = new CopyOnWriteArrayList<>();

    private Loops(MonotonicClock clock, EventLog events) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.events = Objects.requireNonNull(events, "events");
    }

    /** Returns an empty registry. */
    public static Loops create(MonotonicClock clock, EventLog events) {
        return new Loops(clock, events);
    }

    /** Returns a registry that records no events, for processes without an event log. */
    public static Loops unobserved() {
        return create(MonotonicClock.system(), EventLog.none());
    }

    /**
     * Registers a loop.
     *
     * @param name the name of the loop in the log
     * @param stallBound the time without progress from which the loop counts as stalled
     */
    public LoopGuard register(String name, Duration stallBound) {
        return add(new LoopGuard(name, stallBound, false, clock, events));
    }

    /** Registers a loop without which the process acts on old knowledge, so that it must not be ready without it. */
    public LoopGuard registerEssential(String name, Duration stallBound) {
        return add(new LoopGuard(name, stallBound, true, clock, events));
    }

    private LoopGuard add(LoopGuard guard) {
        guards.add(guard);
        return guard;
    }

    /** Removes a loop that has ended because it is no longer needed. */
    public void remove(LoopGuard guard) {
        guards.remove(guard);
    }

    /** Returns the loops in the order in which they were registered. */
    public List<LoopGuard> all() {
        return List.copyOf(guards);
    }

    /** Returns the number of loops that make no progress. */
    public int stalledCount() {
        return (int) guards.stream().filter(LoopGuard::isStalled).count();
    }

    /** Returns the number of steps that failed by an unexpected error. */
    public long failedSteps() {
        return guards.stream().mapToLong(LoopGuard::failedSteps).sum();
    }

    /** Returns an essential loop that makes no progress, if there is one. */
    public Optional<String> stalledEssentialLoop() {
        return guards.stream()
                .filter(guard -> guard.isEssential() && guard.isStalled())
                .map(LoopGuard::loop)
                .findFirst();
    }

    /** Reports the loops that have stalled or go on again, and repeats the recoveries that failed. */
    public void check() {
        for (LoopGuard guard : guards) {
            try {
                guard.check();
            } catch (Throwable error) {
                // Counted by the loop; the next check tries again.
                guard.countFailure();
            }
        }
    }
}
