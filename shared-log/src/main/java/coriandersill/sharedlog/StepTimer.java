package coriandersill.sharedlog;

import coriandersill.events.LoopGuard;
import java.time.Duration;
import java.util.Objects;

/**
 * Runs and schedules the steps of one loop; its methods never throw.
 *
 * <pre>{@code
 * timer.run(this::append, RETRY_DELAY, this::append);
 * }</pre>
 *
 * <p>If even the timer of a step cannot be set, the registry of the loop sets it. Thread-safe.
 */
public final class StepTimer {
    private final Scheduler scheduler;
    private final LoopGuard guard;

    private StepTimer(Scheduler scheduler, LoopGuard guard) {
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        this.guard = Objects.requireNonNull(guard, "guard");
    }

    /** Returns a timer of the steps of the loop that {@code guard} keeps going. */
    public static StepTimer of(Scheduler scheduler, LoopGuard guard) {
        return new StepTimer(scheduler, guard);
    }

    /** Runs a step now; after an error, {@code retry} runs after {@code retryDelay}. */
    public void run(Runnable step, Duration retryDelay, Runnable retry) {
        try {
            guard.run(step, () -> scheduler.schedule(retryDelay, retry));
        } catch (Throwable timerNotSet) {
            // The guard has kept the retry.
            guard.fail(timerNotSet);
        }
    }

    /** Runs a step after {@code delay}. */
    public void schedule(Duration delay, Runnable step) {
        run(() -> scheduler.schedule(delay, step), delay, step);
    }
}
