package coriandersill.duties;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Where windows begin by the monotonic clock of one entry. Questions about windows arrive with varying delays; windows
 * that begin where the first question says, and follow each other without a gap, count each request once. Not
 * thread-safe.
 */
public final class WindowAnchor {
    /** A difference up to this is the delay of a question; a larger one shows that the asker's clock was corrected. */
    private static final long MAX_DELAY_NANOS = Duration.ofMillis(100).toNanos();

    private final long lengthNanos;
    private OptionalLong windowZeroNanos = OptionalLong.empty();

    private WindowAnchor(long lengthNanos) {
        this.lengthNanos = lengthNanos;
    }

    /** Returns an anchor that no question has set yet. */
    public static WindowAnchor create(UsageWindows windows) {
        return new WindowAnchor(Duration.ofMillis(windows.lengthMillis()).toNanos());
    }

    /**
     * Returns when a window begins, by the entry's monotonic clock.
     *
     * @param window its number
     * @param statedNanos when it begins by the question that has just arrived
     */
    public long startNanos(long window, long statedNanos) {
        // Overflow is harmless: only differences of these values are used.
        long stated = statedNanos - window * lengthNanos;
        long kept = windowZeroNanos.orElse(stated);
        if (windowZeroNanos.isEmpty() || Math.abs(stated - kept) > MAX_DELAY_NANOS) {
            windowZeroNanos = OptionalLong.of(stated);
        }
        return windowZeroNanos.getAsLong() + window * lengthNanos;
    }

    /** Returns when a window that begins at {@code startNanos} ends. */
    public long endNanos(long startNanos) {
        return startNanos + lengthNanos;
    }
}
