package coriandersill.relay.internal;

import java.time.Duration;

/**
 * Decides when a generation that moves off a leaving engine is stopped, so that what is left of it is copied before the
 * engine shuts down.
 *
 * <p>While the engine's link is free, copies of what was added get shorter and shorter, and the generation is stopped
 * when one was so short that the pause goes unnoticed. While other generations use the link, each copy waits for theirs
 * and takes about as long as the one before; the generation then stops while one more copy still fits, although the
 * pause shows.
 *
 * @param timeLimit the time until the engine shuts down, from the start of the move
 * @param fullCopyTime the time of a copy of the whole generation on a free link
 */
record MovePacing(Duration timeLimit, Duration fullCopyTime) {
    /** A copy that takes at most this long indicates that little remains and that no other copy occupies the link. */
    private static final Duration SHORT_COPY_TIME = Duration.ofMillis(60);

    /** The fraction of the time limit after which the generation is stopped in any case. */
    private static final double STOP_TIME_FRACTION = 0.75;

    /** The generation is stopped if the time left is below this many times the duration of the last copy. */
    private static final double MIN_COPIES_LEFT = 2.2;

    /** The generation is stopped before its first copy if the time limit is below this many full copies. */
    private static final double MIN_FULL_COPIES = 1.6;

    /** How long a stopped generation waits for a target with a free slot. */
    private static final Duration MAX_STOPPED_TIME = Duration.ofSeconds(1);

    /** Returns whether the first copy is already to be the last one. */
    boolean isOneCopyAllThatFits() {
        return timeLimit.toNanos() < fullCopyTime.toNanos() * MIN_FULL_COPIES;
    }

    /** Returns whether the time is nearly over. */
    boolean isStopDue(Duration elapsed) {
        return elapsed.toNanos() > timeLimit.toNanos() * STOP_TIME_FRACTION;
    }

    /** Returns whether the engine has probably shut down. */
    boolean isOver(Duration elapsed) {
        return elapsed.compareTo(timeLimit) > 0;
    }

    /** Returns whether a generation that has been stopped for {@code sinceStop} still waits for a target. */
    boolean mayWaitStopped(Duration sinceStop) {
        return sinceStop.compareTo(MAX_STOPPED_TIME) < 0;
    }

    /** Returns whether the copy that follows one that took {@code lastCopy} is to be the last. */
    boolean isLastCopyDue(Duration elapsed, Duration lastCopy) {
        Duration left = timeLimit.minus(elapsed);
        return lastCopy.compareTo(SHORT_COPY_TIME) <= 0
                || isStopDue(elapsed)
                || left.toNanos() < lastCopy.toNanos() * MIN_COPIES_LEFT;
    }
}
