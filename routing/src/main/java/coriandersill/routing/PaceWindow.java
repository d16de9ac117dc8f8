package coriandersill.routing;

import java.util.Arrays;
import java.util.OptionalLong;

/**
 * The times between the latest events of one stream, which tell how fast its engine decodes.
 *
 * <p>The pace is their lower quartile: a prefill of another prompt or a lost packet delays some events, an engine that
 * is slow delays all. Not thread-safe.
 */
public final class PaceWindow {
    private static final int INTERVALS = 4;

    /** The number of events from one pace to the next. */
    private static final int EVENTS_PER_PACE = 2;

    private final long[] intervalsNanos = new long[INTERVALS];
    private long lastEventAtNanos;
    private int events;

    private PaceWindow() {}

    /** Returns an empty window. */
    public static PaceWindow create() {
        return new PaceWindow();
    }

    /**
     * Records an event.
     *
     * @return the pace in nanoseconds an event, if there are enough events since the last one
     */
    public OptionalLong record(long atNanos) {
        if (events > 0) {
            intervalsNanos[(events - 1) % INTERVALS] = atNanos - lastEventAtNanos;
        }
        lastEventAtNanos = atNanos;
        events++;
        boolean due = events > INTERVALS && (events - 1) % EVENTS_PER_PACE == 0;
        return due ? OptionalLong.of(lowerQuartile()) : OptionalLong.empty();
    }

    /** Returns the longest of the latest times between events, in nanoseconds; 0 before the second event. */
    public long longestNanos() {
        return Arrays.stream(intervalsNanos).max().orElse(0);
    }

    /** Forgets all events, for example after the stream was paused by its reader. */
    public void reset() {
        events = 0;
    }

    private long lowerQuartile() {
        long[] sorted = intervalsNanos.clone();
        Arrays.sort(sorted);
        return sorted[INTERVALS / 4];
    }
}
