package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.events.CallGuard;
import coriandersill.workers.WorkerPool;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Runs the steps of one call on the Vert.x context of its caller's connection until the call has ended. A step that
 * throws an error fails the call.
 */
final class CallSteps {
    private final Vertx vertx;
    private final WorkerPool workers;
    private final Context context;
    private final CallGuard guard;
    private final Consumer<CallFailure> onTaskFailed;
    private boolean ended;

    /**
     * Creates the steps of a call on the current Vert.x context.
     *
     * @param onTaskFailed fails the call because a task on a worker failed
     */
    CallSteps(Vertx vertx, WorkerPool workers, CallGuard guard, Consumer<CallFailure> onTaskFailed) {
        this.vertx = vertx;
        this.workers = workers;
        this.context = vertx.getOrCreateContext();
        this.guard = guard;
        this.onTaskFailed = onTaskFailed;
    }

    /** Returns the guard that each step of the call runs in. */
    CallGuard guard() {
        return guard;
    }

    /** Runs {@code step} at once, also if the call has ended. */
    void run(Runnable step) {
        guard.run(step);
    }

    /** Runs {@code step} on the call's context in {@code delayMillis} unless the call has ended; returns its timer. */
    long runLater(long delayMillis, Runnable step) {
        return vertx.setTimer(Math.max(1, delayMillis), timer -> {
            if (!ended) {
                guard.run(step);
            }
        });
    }

    /** Cancels a timer that {@link #runLater} returned. */
    void cancel(long timer) {
        vertx.cancelTimer(timer);
    }

    /** Runs {@code task} on the call's context unless the call has ended; may be called from any thread. */
    void runOnContext(Runnable task) {
        context.runOnContext(ignored -> {
            if (!ended) {
                guard.run(task);
            }
        });
    }

    /**
     * Runs {@code task} on a worker, then passes its result to {@code onResult} on the call's context unless the call
     * has ended.
     */
    <T> void runOnWorker(Supplier<T> task, Consumer<T> onResult) {
        runOnWorker(task, onResult, unused -> {});
    }

    /** Does the same, and passes the result to {@code onAbandoned}, which releases it, if the call has ended. */
    <T> void runOnWorker(Supplier<T> task, Consumer<T> onResult, Consumer<T> onAbandoned) {
        workers.submit(task)
                .whenComplete((value, error) -> context.runOnContext(ignored -> {
                    if (ended && error == null) {
                        onAbandoned.accept(value);
                    } else if (!ended && error == null) {
                        guard.run(() -> onResult.accept(value));
                    } else if (!ended) {
                        guard.run(() -> onTaskFailed.accept(CallFailure.from(error)));
                    }
                }));
    }

    /** Records that the call has ended: no further step runs. */
    void end() {
        ended = true;
    }

    /** Returns whether the call has ended. */
    boolean hasEnded() {
        return ended;
    }
}
