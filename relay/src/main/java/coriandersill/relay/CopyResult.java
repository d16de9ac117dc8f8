package coriandersill.relay;

import coriandersill.responses.StopOrder;
import java.util.Optional;

/**
 * The result of copying a running generation's KV cache.
 *
 * @param status the outcome
 * @param handle the source's identifier of the copy; empty if there is none
 */
public record CopyResult(Status status, Optional<String> handle) {

    /** The outcome of a copy. */
    public enum Status {
        /** The copy is complete except for tokens that were added after it was made. */
        COPIED(StopOrder.State.ANSWERED),
        /** The engine runs no such generation, or the generation has not produced its first token yet. */
        NO_RUN(StopOrder.State.NOT_CARRIED_OUT),
        /** Another copy of the same generation is in progress. */
        BUSY(StopOrder.State.NOT_CARRIED_OUT),
        /** The target lacks memory or is unreachable; if a stop was requested, the generation has stopped. */
        NO_ROOM(StopOrder.State.ANSWERED);

        private final StopOrder.State stopOrderState;

        Status(StopOrder.State stopOrderState) {
            this.stopOrderState = stopOrderState;
        }

        /** Returns what this outcome says of the order to stop the generation, if the copy was to be the last. */
        public StopOrder.State stopOrderState() {
            return stopOrderState;
        }
    }
}
