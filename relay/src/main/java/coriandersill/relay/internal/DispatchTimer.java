package coriandersill.relay.internal;

import coriandersill.events.LoopGuard;
import coriandersill.events.Loops;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

/**
 * Lets waiting generations look for an engine, and refuses those whose time is over, when nothing else happens. Runs
 * only while generations wait, so that an entry without load does not wake up. Thread-safe.
 */
final class DispatchTimer {
    /** Shorter than the pauses between looks for an engine, which it makes longer by up to this. */
    private static final long INTERVAL_MILLIS = 20;

    /** The time without a step from which the timer counts as stalled. */
    private static final Duration STALL_BOUND = Duration.ofSeconds(3);

    private final Vertx vertx;
    private final Runnable step;
    private final BooleanSupplier hasWaiting;
    private final LoopGuard guard;
    private final AtomicBoolean running = new AtomicBoolean();

    /**
     * Creates the timer.
     *
     * @param step dispatches and refuses the generations for which it is time
     * @param hasWaiting whether generations wait; the timer stops when it returns false
     */
    DispatchTimer(Vertx vertx, Runnable step, BooleanSupplier hasWaiting, Loops loops) {
        this.vertx = vertx;
        this.step = step;
        this.hasWaiting = hasWaiting;
        this.guard = loops.register("dispatch of waiting generations", STALL_BOUND);
    }

    /** Starts the timer unless it runs; called after a generation was added to those that wait. */
    void wake() {
        if (running.compareAndSet(false, true)) {
            vertx.setPeriodic(INTERVAL_MILLIS, this::runStep);
        }
    }

    private void runStep(long timer) {
        guard.runPeriodic(step);
        if (!hasWaiting.getAsBoolean()) {
            vertx.cancelTimer(timer);
            guard.rest();
            running.set(false);
            // A generation may have been added after the check, while the timer still counted as running.
            if (hasWaiting.getAsBoolean()) {
                wake();
            }
        }
    }
}
