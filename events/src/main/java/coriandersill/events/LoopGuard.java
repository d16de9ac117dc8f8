package coriandersill.events;

import coriandersill.core.MonotonicClock;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Keeps one loop going and tells whether it makes progress: an error in a step is counted and recorded once, and the
 * loop's recovery schedules the next step.
 *
 * <pre>{@code
 * guard.run(() -> apply(page), () -> timer.after(guard.retryDelay(), this::read));
 * }</pre>
 *
 * <p>A loop whose steps consist of several parts, such as a request and the processing of its response, states itself
 * when one is complete, see {@link #markProgress}; a part that succeeds before another one that always fails is no
 * progress. Created by {@link Loops}. Thread-safe.
 */
public final class LoopGuard {
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(100);

    /** The maximum number of times that the delay after a failed step is doubled. */
    private static final int MAX_DOUBLINGS = 4;

    private static final int MAX_STACK_FRAMES = 3;

    /** The maximum number of different errors that are recorded once each before they are recorded again. */
    private static final int MAX_REMEMBERED_ERRORS = 64;

    private final String loop;
    private final Duration stallBound;
    private final boolean essential;
    private final MonotonicClock clock;
    private final EventLog events;
    private final AtomicLong failedSteps = new AtomicLong();
    private final AtomicInteger consecutiveFailures = new AtomicInteger();
    private final Set<String> recordedErrors = ConcurrentHashMap.newKeySet();
    private volatile String lastError = "";
    private volatile long progressAtNanos;
    private volatile boolean hasWork;
    private volatile boolean stallReported;

    /** The recovery that itself failed, and so has scheduled no step; null if there is none. */
    private volatile Runnable pendingRecovery;

    LoopGuard(String loop, Duration stallBound, boolean essential, MonotonicClock clock, EventLog events) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.stallBound = Objects.requireNonNull(stallBound, "stallBound");
        this.essential = essential;
        this.clock = Objects.requireNonNull(clock, "clock");
        this.events = Objects.requireNonNull(events, "events");
    }

    /** Returns the name of the loop in the log. */
    public String loop() {
        return loop;
    }

    /** Returns the number of steps that failed by an unexpected error. */
    public long failedSteps() {
        return failedSteps.get();
    }

    /** Returns the number of steps that failed since the last progress. */
    public int consecutiveFailures() {
        return consecutiveFailures.get();
    }

    /** Returns whether the process acts on old knowledge while the loop makes no progress. */
    public boolean isEssential() {
        return essential;
    }

    /** Records that the loop has work from now on, unless it had; only then can it be without progress. */
    public void begin() {
        if (!hasWork) {
            progressAtNanos = clock.nanos();
            hasWork = true;
        }
    }

    /** Records that the loop has nothing to do until the next {@link #begin}. */
    public void rest() {
        markProgress();
        hasWork = false;
    }

    /** Records that a step is complete, or that it heard that the peer or service that it needs does not answer. */
    public void markProgress() {
        consecutiveFailures.set(0);
        progressAtNanos = clock.nanos();
    }

    /** Runs a part of a step; if it throws anything, runs {@code recovery}, which must schedule the next step. */
    public void run(Runnable part, Runnable recovery) {
        try {
            part.run();
        } catch (Throwable error) {
            recover(error, recovery);
        }
    }

    /** Runs a part of a step of a loop whose next step is scheduled, whatever happens. */
    public void run(Runnable part) {
        run(part, () -> {});
    }

    /** Runs a whole step of a loop whose timer fires again whatever happens. */
    public void runPeriodic(Runnable step) {
        begin();
        long failedBefore = failedSteps.get();
        run(step);
        if (failedSteps.get() == failedBefore) {
            markProgress();
        }
    }

    /** Runs a part of a step for each item; one that fails keeps no other from its turn. */
    public <T> void forEach(Iterable<T> items, Consumer<? super T> part) {
        for (T item : items) {
            try {
                part.accept(item);
            } catch (Throwable error) {
                fail(error);
            }
        }
    }

    /** Counts and records an unexpected error of a step that reached the loop in another way than by being thrown. */
    public void fail(Throwable error) {
        countFailure();
        report(error);
    }

    void countFailure() {
        failedSteps.incrementAndGet();
        consecutiveFailures.incrementAndGet();
    }

    /** Returns the delay until the step after one that failed; it doubles with each further failure. */
    public Duration retryDelay() {
        int doublings = Math.max(0, Math.min(consecutiveFailures.get() - 1, MAX_DOUBLINGS));
        return MIN_RETRY_DELAY.multipliedBy(1L << doublings);
    }

    /** Returns the time since the last progress; zero while the loop has nothing to do. */
    public Duration age() {
        return hasWork ? Duration.ofNanos(clock.nanos() - progressAtNanos) : Duration.ZERO;
    }

    /** Returns whether the loop has had work for longer than its bound without making progress. */
    public boolean isStalled() {
        return age().compareTo(stallBound) > 0;
    }

    /** Records that the loop has stalled, or goes on again, and repeats a recovery that failed. */
    void check() {
        boolean stalled = isStalled();
        if (stalled != stallReported) {
            stallReported = stalled;
            Map<String, Object> details = new LinkedHashMap<>();
            details.put("loop", loop);
            details.put("age_ms", age().toMillis());
            details.put("bound_ms", stallBound.toMillis());
            details.put("failed_steps", failedSteps.get());
            details.put("detail", lastError);
            events.record(stalled ? EventCode.LOOP_STALLED : EventCode.LOOP_RESUMED, details);
        }
        Runnable recovery = pendingRecovery;
        if (recovery != null) {
            recovery.run();
            pendingRecovery = null;
        }
    }

    private void recover(Throwable error, Runnable recovery) {
        pendingRecovery = recovery;
        try {
            fail(error);
        } finally {
            recovery.run();
            pendingRecovery = null;
        }
    }

    private void report(Throwable error) {
        String description = String.valueOf(error);
        lastError = description;
        if (recordedErrors.size() >= MAX_REMEMBERED_ERRORS) {
            recordedErrors.clear();
        }
        if (!recordedErrors.add(description)) {
            return;
        }
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
