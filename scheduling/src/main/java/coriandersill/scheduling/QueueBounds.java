package coriandersill.scheduling;

/**
 * The bounds of a waiting queue. A workspace may occupy as much as is free, so that one with thousands of requests
 * takes half of the queue, and there is always room for others.
 *
 * @param maxRequests the maximum number of waiting requests
 * @param maxBytes the maximum memory of waiting requests
 */
public record QueueBounds(int maxRequests, long maxBytes) {
    /** Rejects bounds below 1. */
    public QueueBounds {
        if (maxRequests < 1 || maxBytes < 1) {
            throw new IllegalArgumentException(
                    "queue bounds: expected at least 1, found " + maxRequests + " and " + maxBytes);
        }
    }

    /** What is waiting, as a number of requests and their memory. */
    record Occupancy(int requests, long bytes) {}

    /** Returns whether a workspace may add a request of {@code bytes}. */
    boolean permit(Occupancy all, Occupancy ofWorkspace, long bytes) {
        return ofWorkspace.requests() < maxRequests - all.requests()
                && ofWorkspace.bytes() + bytes <= maxBytes - all.bytes();
    }
}
