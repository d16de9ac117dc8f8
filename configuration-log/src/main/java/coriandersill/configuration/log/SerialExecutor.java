package coriandersill.configuration.log;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs tasks one at a time and in order on another executor, and occupies a thread of it only while there are tasks.
 *
 * <p>When the other executor refuses, the task that came is dropped from the queue and the refusal is thrown.
 */
final class SerialExecutor implements Executor {
    private final Executor executor;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger waiting = new AtomicInteger();

    SerialExecutor(Executor executor) {
        this.executor = executor;
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
        if (waiting.getAndIncrement() == 0) {
            try {
                executor.execute(this::drain);
            } catch (RuntimeException refused) {
                drainAfterRefusal(task);
                throw refused;
            }
        }
    }

    private void drain() {
        do {
            Runnable task = tasks.poll();
            if (task != null) {
                task.run();
            }
        } while (waiting.decrementAndGet() != 0);
    }

    private void drainAfterRefusal(Runnable refused) {
        tasks.remove(refused);
        if (waiting.decrementAndGet() != 0) {
            drain();
        }
    }
}
