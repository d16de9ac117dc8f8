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
 * A fixed-size thread pool with a bounded queue, for tasks that work on shared tables; they may wait for a lock, which
 * would hold up the other work of an event loop.
 *
 * <pre>{@code
 * WorkerPool workers = WorkerPool.of("entry", 4, 10_000);
 * CompletableFuture<Route> route = workers.submit(() -> router.choose(request));
 * }</pre>
 *
 * <p>Callers never wait for room in the queue. If the queue is full or the pool is stopped, {@link #submit} and
 * {@link #execute} reject the task with {@link ErrorKind#OVERLOADED}, and {@link #executeOrRun} runs it on the calling
 * thread.
 */
public final class WorkerPool implements ManagedService, Executor {
    /** The delay after which the caller of a rejected task is advised to retry. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

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

    /**
     * Returns a pool of {@code threads} threads that queues at most {@code queueCapacity} tasks.
     *
     * @param name the prefix of the names of its threads; failures of rejected tasks contain it too
     */
    public static WorkerPool of(String name, int threads, int queueCapacity) {
        if (threads < 1 || queueCapacity < 1) {
            throw new IllegalArgumentException(
                    "threads and queueCapacity: expected 1 or more, found " + threads + " and " + queueCapacity);
        }
        return new WorkerPool(name, threads, queueCapacity);
    }

    /** Runs {@code task} on a worker; the future fails with {@link ErrorKind#OVERLOADED} if the task is rejected. */
    public <T> CompletableFuture<T> submit(Supplier<T> task) {
        try {
            return CompletableFuture.supplyAsync(task, executor);
        } catch (RejectedExecutionException e) {
            return overloaded().asFuture();
        }
    }

    /** Runs {@code task} on a worker; throws a failure of kind {@link ErrorKind#OVERLOADED} if it is rejected. */
    @Override
    public void execute(Runnable task) {
        try {
            executor.execute(task);
        } catch (RejectedExecutionException e) {
            throw overloaded();
        }
    }

    /**
     * Runs {@code task} on a worker, or on the calling thread if the queue is full or the pool is stopped; for tasks
     * that must not be lost.
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

    /** Rejects new tasks. Queued tasks still run; the future does not wait for them and {@code grace} has no effect. */
    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        executor.shutdown();
        return CompletableFuture.completedFuture(null);
    }

    private CallFailure overloaded() {
        return CallFailure.of(ErrorKind.OVERLOADED, "worker pool " + name + " has no room")
                .withRetryAfter(RETRY_AFTER);
    }
}
