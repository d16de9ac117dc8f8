package coriandersill.daemon.internal;

import coriandersill.core.ManagedService;
import coriandersill.events.LoopGuard;
import coriandersill.events.Loops;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/** Repeats tasks from its start to its stop; one that fails keeps no other from its turn. */
final class Maintenance implements ManagedService {
    private static final long INTERVAL_MILLIS = 1_000;
    private static final Duration STALL_BOUND = Duration.ofSeconds(10);

    private final Vertx vertx;
    private final Executor executor;
    private final List<Task> tasks;
    private final LoopGuard guard;
    private long timerId = -1;

    /** A part of the maintenance. */
    interface Task {
        /** Runs the task; {@code guard} is that of the maintenance, for tasks of several parts. */
        void run(LoopGuard guard);
    }

    /** Creates a maintenance whose tasks run on {@code executor}, in their order. */
    Maintenance(Vertx vertx, Executor executor, Loops loops, List<Task> tasks) {
        this.vertx = vertx;
        this.executor = executor;
        this.tasks = List.copyOf(tasks);
        this.guard = loops.register("maintenance", STALL_BOUND);
    }

    @Override
    public CompletableFuture<Void> start() {
        guard.begin();
        timerId = vertx.setPeriodic(INTERVAL_MILLIS, tick -> executor.execute(() -> guard.runPeriodic(this::runTasks)));
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        vertx.cancelTimer(timerId);
        guard.rest();
        return CompletableFuture.completedFuture(null);
    }

    private void runTasks() {
        guard.forEach(tasks, task -> task.run(guard));
    }
}
