package coriandersill.workers;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.ManagedService;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * A fixed-size thread pool with a bounded queue, whose tasks work on the shared tables.
 *
 * <pre>{@code
 * WorkerPool workers = WorkerPool.of("entry", 4, 10_000);
 * CompletableFuture<Route> route = workers.submit(() -> router.choose(request));
 * }</pre>
 *
 * <p>If the queue is full, a task is rejected with {@link ErrorKind#OVERLOADED}; callers never block.
 */
public final class WorkerPool implements ManagedService, Executor {
    private final ThreadPoolExecutor executor;
    private final String name;

    private WorkerPool(String name, int threads, int queueCapacity) {
        this.name = name;
        AtomicInteger threadNumber = new AtomicInteger();
        this.executor = new ThreadPoolExecutor(
                threads, threads, 0, TimeUnit.SECONDS, new ArrayBlockingQueue<>(queueCapacity), task -> {
                    Thread thread = new Thread(task, name + "-worker-" + threadNumber.incrementAndGet());
                    thread.setDaemon(true);
                    return thread;
                });
    }

    /** Returns a pool of {@code threads} threads that queues at most {@code queueCapacity} tasks. */
    public static WorkerPool of(String name, int threads, int queueCapacity) {
        if (threads < 1 || queueCapacity < 1) {
            throw new IllegalArgumentException(
                    "threads and queueCapacity: expected 1 or more, found " + threads + " and " + queueCapacity);
        }
        return new WorkerPool(name, threads, queueCapacity);
    }

    /** Runs {@code task} on a worker; fails with {@link ErrorKind#OVERLOADED} if the queue is full. */
    public <T> CompletableFuture<T> submit(Supplier<T> task) {
        try {
            return CompletableFuture.supplyAsync(task, executor);
        } catch (RejectedExecutionException e) {
            return overloaded().asFuture();
        }
    }

    /** Runs {@code task} on a worker; throws a failure of kind {@link ErrorKind#OVERLOADED} if the queue is full. */
    @Override
    public void execute(Runnable task) {
        try {
            executor.execute(task);
        } catch (RejectedExecutionException e) {
            throw overloaded();
        }
    }

    /**
     * Runs {@code task} on a worker, or on the calling thread if the queue is full; for tasks that must not be lost.
     */
    public void executeOrRun(Runnable task) {
        try {
            executor.execute(task);
        } catch (RejectedExecutionException e) {
            task.run();
        }
    }

    /** Returns the number of queued tasks. */
    public int queuedTasks() {
        return executor.getQueue().size();
    }

    @Override
    public CompletableFuture<Void> start() {
        executor.prestartAllCoreThreads();
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        executor.shutdown();
        return CompletableFuture.completedFuture(null);
    }

    private CallFailure overloaded() {
        return CallFailure.of(ErrorKind.OVERLOADED, "worker pool " + name + " has no room")
                .withRetryAfter(Duration.ofSeconds(1));
    }
}
