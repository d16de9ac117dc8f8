package coriandersill.sharedlog;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Runs tasks after a delay; a task does little and hands work on to an executor. */
@FunctionalInterface
public interface Scheduler {

    /** Runs {@code task} once after {@code delay}, unless it is cancelled before. */
    ScheduledTask schedule(Duration delay, Runnable task);

    /** A task that waits for its time. */
    @FunctionalInterface
    interface ScheduledTask {

        /** Cancels the task if it has not begun; otherwise does nothing. */
        void cancel();
    }

    /** Returns a scheduler over an executor of the JDK, which the caller shuts down. */
    static Scheduler of(ScheduledExecutorService executor) {
        return (delay, task) -> {
            ScheduledFuture<?> future = executor.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
            return () -> future.cancel(false);
        };
    }
}
