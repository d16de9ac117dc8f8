package coriandersill.routing;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.VersionName;

/**
 * An instance (a sidecar, or an upstream that is called without one) with its load as estimated by this entry.
 *
 * @param instance the instance
 * @param zone its availability zone
 * @param version the version that it serves
 * @param inFlight number of this entry's calls running or queued there
 * @param reservedTokens engine memory this entry predicts for its own calls there, in tokens
 * @param otherEntriesInFlight number of calls of other entries there; if derived from a load report, weighted down with
 *     the report's age
 * @param otherEntriesReservedTokens engine memory reserved for those calls, in tokens, weighted likewise
 * @param limit the concurrency limit from the last load report or else from {@link CandidateInfo}, at least 1
 * @param memoryTokens the engine memory in tokens; 0 if unknown
 * @param pendingPromptTokens prompt tokens sent to the upstream and not yet prefilled
 */
public record Candidate(
        InstanceId instance,
        AvailabilityZone zone,
        VersionName version,
        int inFlight,
        long reservedTokens,
        int otherEntriesInFlight,
        long otherEntriesReservedTokens,
        int limit,
        long memoryTokens,
        long pendingPromptTokens) {

    /** Creates a candidate without pending prompt tokens, or for which they are not tracked. */
    public Candidate(
            InstanceId instance,
            AvailabilityZone zone,
            VersionName version,
            int inFlight,
            long reservedTokens,
            int otherEntriesInFlight,
            long otherEntriesReservedTokens,
            int limit,
            long memoryTokens) {
        this(
                instance,
                zone,
                version,
                inFlight,
                reservedTokens,
                otherEntriesInFlight,
                otherEntriesReservedTokens,
                limit,
                memoryTokens,
                0);
    }

    /** Creates a candidate for which the tokens reserved by other entries are unknown. */
    public Candidate(
            InstanceId instance,
            AvailabilityZone zone,
            VersionName version,
            int inFlight,
            long reservedTokens,
            int otherEntriesInFlight,
            int limit,
            long memoryTokens) {
        this(instance, zone, version, inFlight, reservedTokens, otherEntriesInFlight, 0, limit, memoryTokens, 0);
    }

    /**
     * Returns the predicted load: the utilization of the concurrency limit or of the memory, whichever is higher.
     * Exceeds 1 if more is in flight than the upstream admits.
     */
    public double predictedLoad() {
        double concurrency = (inFlight + otherEntriesInFlight) / (double) Math.max(1, limit);
        if (memoryTokens <= 0) {
            return concurrency;
        }
        return Math.max(concurrency, (reservedTokens + otherEntriesReservedTokens) / (double) memoryTokens);
    }

    /** Returns whether {@code tokens} more fit in memory beside the prediction for the calls in flight. */
    public boolean hasRoomFor(int tokens) {
        return memoryTokens <= 0 || reservedTokens + otherEntriesReservedTokens + tokens <= memoryTokens;
    }

    /** Returns whether the calls in flight, including those that wait, leave a slot free. */
    public boolean hasFreeSlot() {
        return inFlight + otherEntriesInFlight < limit;
    }

    /** Returns whether this candidate serves the requested version and is not excluded by the request. */
    boolean isEligibleFor(RouteRequest request) {
        return version.equals(request.version()) && !request.excluded().contains(instance);
    }
}
