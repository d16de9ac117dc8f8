package coriandersill.events;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Keeps a loop going whose steps each schedule the next one: an error in a step is counted and recorded once, and the
 * loop's recovery schedules the next step. Thread-safe.
 *
 * <pre>{@code
 * guard.run(() -> apply(page), () -> timer.after(RETRY_DELAY, this::read));
 * }</pre>
 */
public final class LoopGuard {
    private static final int MAX_STACK_FRAMES = 3;

    private final String loop;
    private final EventLog events;
    private final AtomicLong failedSteps = new AtomicLong();
    private volatile String lastError = "";

    private LoopGuard(String loop, EventLog events) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.events = Objects.requireNonNull(events, "events");
    }

    /** Returns the guard of the loop that is called {@code loop} in the log. */
    public static LoopGuard of(String loop, EventLog events) {
        return new LoopGuard(loop, events);
    }

    /** Returns the number of steps that failed. */
    public long failedSteps() {
        return failedSteps.get();
    }

    /** Runs a step of the loop; if it throws anything, runs {@code recovery}, which must schedule the next step. */
    public void run(Runnable step, Runnable recovery) {
        try {
            step.run();
        } catch (Throwable error) {
            failedSteps.incrementAndGet();
            try {
                report(error);
            } finally {
                recovery.run();
            }
        }
    }

    private void report(Throwable error) {
        String description = String.valueOf(error);
        if (description.equals(lastError)) {
            return;
        }
        lastError = description;
        StringBuilder at = new StringBuilder();
        StackTraceElement[] frames = error.getStackTrace();
        for (int i = 0; i < Math.min(MAX_STACK_FRAMES, frames.length); i++) {
            at.append(i == 0 ? "" : " < ").append(frames[i]);
        }
        Map<String, Object> details = new LinkedHashMap<>();
        details.put("loop", loop);
        details.put("detail", description);
        details.put("at", at.toString());
        details.put("failed_steps", failedSteps.get());
        events.record(EventCode.LOOP_STEP_FAILED, details);
    }
}
