package coriandersill.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs the steps of a series of faults, and records what it did with the time since its creation. */
final class FaultTimer {
    private final long startNanos = System.nanoTime();
    private final List<String> events = new ArrayList<>();
    private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(4);
    private volatile boolean stopping;

    /** A step, or the action that ends a fault. */
    interface Step {
        void run() throws Exception;
    }

    /** Runs a step after a time, unless the timer stops before; a failure is recorded with the description. */
    void schedule(String description, long delayMillis, Step step) {
        executor.schedule(
                () -> {
                    if (!stopping) {
                        run("inject", description, step);
                    }
                },
                delayMillis,
                TimeUnit.MILLISECONDS);
    }

    /** Runs the end of a fault after a time, even if the timer stops before. */
    void scheduleEnd(String fault, long delayMillis, Step end) {
        executor.schedule(() -> run("end", fault, end), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void run(String verb, String fault, Step step) {
        try {
            step.run();
        } catch (Exception e) {
            record("failed to " + verb + " the fault \"" + fault + "\": " + e);
        }
    }

    synchronized void record(String event) {
        events.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) + " ms: " + event);
    }

    /** Starts no more steps, waits up to a time for the ends of faults, and returns what was recorded. */
    List<String> stop(long timeoutSeconds) throws InterruptedException {
        stopping = true;
        executor.shutdown();
        executor.awaitTermination(timeoutSeconds, TimeUnit.SECONDS);
        synchronized (this) {
            return List.copyOf(events);
        }
    }
}
