package coriandersill.scheduling;

import coriandersill.core.RouteName;
import java.util.Objects;

/**
 * A generation that waits to be sent to an engine. Times are those of a monotonic clock, in nanoseconds.
 *
 * @param number identifies the request within its queue; larger for requests that were added later
 * @param workspace the workspace of the caller; empty for calls without a key
 * @param route the route, which determines how long a request takes
 * @param urgency the rank among the requests of its service, 0 for the most urgent
 * @param arrivedNanos when the request arrived
 * @param latestStartNanos the latest start with which the first event is expected on time
 * @param lastStartNanos the latest start with which the request can be served before its deadline
 * @param tokens the engine memory that it is predicted to need, in tokens
 * @param cost the predicted tokens multiplied by the predicted output tokens, a measure of memory over time
 * @param memoryBytes the memory of the entry that the request occupies while it waits
 */
public record WaitingRequest(
        long number,
        String workspace,
        RouteName route,
        int urgency,
        long arrivedNanos,
        long latestStartNanos,
        long lastStartNanos,
        long tokens,
        double cost,
        long memoryBytes) {

    /** Rejects null. */
    public WaitingRequest {
        Objects.requireNonNull(workspace, "workspace");
        Objects.requireNonNull(route, "route");
    }

    /** Returns whether the first event can still be on time. */
    boolean isOnTime(long nowNanos) {
        return nowNanos - latestStartNanos < 0;
    }

    /** Returns whether the request can still be served before its deadline. */
    boolean isServable(long nowNanos) {
        return nowNanos - lastStartNanos < 0;
    }

    /** Returns whether half of the time until the last possible start is over. */
    boolean hasWaitedHalf(long nowNanos) {
        return nowNanos - arrivedNanos >= (lastStartNanos - arrivedNanos) / 2;
    }
}
