package coriandersill.relay;

import java.util.Optional;

/**
 * How the copying of a running generation ended.
 *
 * @param status how it ended
 * @param handle the source's name for the copy, where there is one
 */
public record CopyResult(Status status, Optional<String> handle) {

    /** How a copying ended. */
    public enum Status {
        /** The copy holds all that the run held when it was made. */
        COPIED,
        /** The engine runs no such generation, or has not produced its first token yet. */
        NO_RUN,
        /** Another copying of the same run is under way. */
        BUSY,
        /** The target has no room or cannot be reached; a run that was to stop has stopped. */
        NO_ROOM
    }
}
