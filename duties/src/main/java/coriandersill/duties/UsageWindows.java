package coriandersill.duties;

import java.time.Duration;

/**
 * The windows of usage reports: window k begins k times their length after the start of 1970.
 *
 * @param lengthMillis the length of a window, in milliseconds, at least 1
 * @param reportDelay the time after the end of a window within which its report is due
 */
public record UsageWindows(long lengthMillis, Duration reportDelay) {
    /** Covers an outage of the store of most of a minute. */
    private static final long MIN_KEPT_MILLIS = 60_000;

    /** The longest delay for which counts are kept, in windows: more would make the steps of a count too long. */
    private static final int MAX_KEPT_WINDOWS = 10;

    /** Throws {@link IllegalArgumentException} if the length is not positive. */
    public UsageWindows {
        if (lengthMillis < 1) {
            throw new IllegalArgumentException("expected a length of at least 1 ms, found " + lengthMillis);
        }
    }

    /** Returns the number of the window that contains a time in milliseconds after 1970. */
    public long numberAt(long millis) {
        return Math.floorDiv(millis, lengthMillis);
    }

    /** Returns when a window begins, in milliseconds after 1970. */
    public long startMillis(long number) {
        return number * lengthMillis;
    }

    /** Returns when a window ends, in milliseconds after 1970. */
    public long endMillis(long number) {
        return startMillis(number + 1);
    }

    /**
     * Returns for how many milliseconds entries keep their counts: a whole window until its report is due, or for some
     * windows if that takes longer, as the holder asks for counts long before.
     */
    public long keptMillis() {
        long delayMillis = Math.min(reportDelay.toMillis(), MAX_KEPT_WINDOWS * lengthMillis);
        return Math.max(MIN_KEPT_MILLIS, 2 * lengthMillis + delayMillis);
    }

    /** Returns until when the report of a window is due, in milliseconds after 1970. */
    public long dueMillis(long number) {
        return endMillis(number) + reportDelay.toMillis();
    }
}
