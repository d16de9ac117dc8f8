package coriandersill.scheduling;

import java.time.Duration;

/**
 * Why a request is refused.
 *
 * @param reason the reason
 * @param expectedWait after which time a request like this one is expected to find an engine with room
 */
public record Refusal(Reason reason, Duration expectedWait) {
    /** The reasons. */
    public enum Reason {
        /** The workspace occupies its part of the queue. */
        QUEUE_FULL,
        /** By the time at which there will be room, the request cannot be served before its deadline. */
        WAIT_TOO_LONG,
        /** The request waited until it could no longer be served before its deadline. */
        NO_ROOM_IN_TIME
    }
}
