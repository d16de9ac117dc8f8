package coriandersill.connections;

import java.util.Comparator;

/**
 * The order in which connections are closed when memory or connections run out: the one that holds the most for the
 * progress that it makes comes first. A connection whose complete request is running comes last, since closing it loses
 * work.
 */
final class ReleaseOrder implements Comparator<ConnectionUsage> {
    /** Counts as the memory of a connection that holds none, so that the one that stalled longest comes first. */
    private static final double IDLE_BYTES = 1 << 10;

    /** Counts as progress, so that a connection that makes none is compared by its memory and its stall. */
    private static final double MIN_RECENT_BYTES = 1 << 10;

    private static final double MIN_STALLED_MILLIS = 100;

    @Override
    public int compare(ConnectionUsage one, ConnectionUsage other) {
        int byRunning = Boolean.compare(one.running(), other.running());
        return byRunning != 0 ? byRunning : Double.compare(cost(other), cost(one));
    }

    private static double cost(ConnectionUsage usage) {
        return (usage.heldBytes() + IDLE_BYTES)
                * (usage.stalledMillis() + MIN_STALLED_MILLIS)
                / (usage.recentBytes() + MIN_RECENT_BYTES);
    }
}
