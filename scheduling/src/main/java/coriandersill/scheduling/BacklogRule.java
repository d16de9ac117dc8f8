package coriandersill.scheduling;

import java.util.Collection;

/** Decides which requests that find no engine with room are sent to one without, where they wait. */
@FunctionalInterface
public interface BacklogRule {
    /**
     * A request that has found no room.
     *
     * @param request the request
     * @param mostUrgentRank the rank of the most urgent requests of the service
     * @param lookedOften whether the request has waited longest, and has looked for room many times
     * @param unbegun the requests that were sent to engines without room and have not begun
     */
    record Situation(
            WaitingRequest request, int mostUrgentRank, boolean lookedOften, Collection<WaitingRequest> unbegun) {}

    /** Returns whether the request is sent to an engine without room. */
    boolean permits(Situation situation);
}
