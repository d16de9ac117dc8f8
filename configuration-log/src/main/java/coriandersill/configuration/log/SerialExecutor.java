package coriandersill.configuration.log;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs tasks sequentially, in the order submitted, on another executor, and uses a thread of it only while there are
 * tasks.
 *
 * <p>If the other executor rejects the work or fails, the submitted task is removed from the queue and the exception is
 * rethrown. Tasks that other threads have queued meanwhile then run on the thread of the rejected submission.
 */
final class SerialExecutor implements Executor {
    private final Executor executor;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pendingCount = new AtomicInteger();

    SerialExecutor(Executor executor) {
        this.executor = executor;
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
        if (pendingCount.getAndIncrement() == 0) {
            try {
                executor.execute(this::drain);
            } catch (RuntimeException | Error rejection) {
                drainAfterRejection(task);
                throw rejection;
            }
        }
    }

    private void drain() {
        do {
            Runnable task = tasks.poll();
            if (task != null) {
                task.run();
            }
        } while (pendingCount.decrementAndGet() != 0);
    }

    private void drainAfterRejection(Runnable rejected) {
        tasks.remove(rejected);
        if (pendingCount.decrementAndGet() != 0) {
            drain();
        }
    }
}
