package coriandersill.sharedlog;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Runs tasks after a delay; tasks must be short, because they may share one thread. */
@FunctionalInterface
public interface Scheduler {

    /** Runs {@code task} once after {@code delay}, unless it is cancelled first. */
    ScheduledTask schedule(Duration delay, Runnable task);

    /** A scheduled task. */
    @FunctionalInterface
    interface ScheduledTask {

        /** Cancels the task if it has not started; otherwise does nothing. */
        void cancel();
    }

    /** Returns a scheduler that uses a JDK executor, which the caller has to shut down. */
    static Scheduler of(ScheduledExecutorService executor) {
        return (delay, task) -> {
            ScheduledFuture<?> future = executor.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
            return () -> future.cancel(false);
        };
    }
}
