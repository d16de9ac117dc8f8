package coriandersill.relay;

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
        COPIED,
        /** The engine runs no such generation, or the generation has not produced its first token yet. */
        NO_RUN,
        /** Another copy of the same generation is in progress. */
        BUSY,
        /** The target lacks memory or is unreachable; if a stop was requested, the generation has stopped. */
        NO_ROOM
    }
}
