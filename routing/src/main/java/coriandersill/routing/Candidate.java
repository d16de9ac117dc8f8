package coriandersill.routing;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.VersionName;

/**
 * One sidecar that could take a request, as this entry sees it.
 *
 * @param instance the sidecar
 * @param zone its availability zone
 * @param version the version its upstream serves
 * @param inFlight this entry's own calls that run or wait there
 * @param reservedTokens tokens that this entry predicts its own calls there to hold
 * @param otherEntriesInFlight calls of other entries by the sidecar's last report, discounted by the report's age
 * @param otherEntriesReservedTokens tokens reserved for them, discounted likewise
 * @param limit the concurrency limit by the sidecar's last report, 1 or more
 * @param memoryTokens the engine memory in tokens; 0 where unknown
 * @param pendingPromptTokens tokens of prompts that the upstream has been given and has not read yet
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

    /** Creates a candidate that has read all its prompts, or does not count them. */
    public Candidate(
            InstanceId instance,
            AvailabilityZone zone,
            VersionName version,
            int inFlight,
            long reservedTokens,
            int othersInFlight,
            long othersTokens,
            int limit,
            long memoryTokens) {
        this(instance, zone, version, inFlight, reservedTokens, othersInFlight, othersTokens, limit, memoryTokens, 0);
    }

    /** Creates a candidate of which the tokens of other entries are unknown. */
    public Candidate(
            InstanceId instance,
            AvailabilityZone zone,
            VersionName version,
            int inFlight,
            long reservedTokens,
            int othersInFlight,
            int limit,
            long memoryTokens) {
        this(instance, zone, version, inFlight, reservedTokens, othersInFlight, 0, limit, memoryTokens, 0);
    }

    /**
     * The predicted load: the larger of the used parts of the concurrency limit and of the memory. It exceeds 1 where
     * more is in flight than the upstream takes.
     */
    public double predictedLoad() {
        double concurrency = (inFlight + otherEntriesInFlight) / (double) Math.max(1, limit);
        if (memoryTokens <= 0) {
            return concurrency;
        }
        return Math.max(concurrency, (reservedTokens + otherEntriesReservedTokens) / (double) memoryTokens);
    }

    /** Whether the memory holds {@code tokens} more beside what is predicted for the calls in flight. */
    public boolean hasRoomFor(int tokens) {
        return memoryTokens <= 0 || reservedTokens + otherEntriesReservedTokens + tokens <= memoryTokens;
    }

    /** Whether the request may go here: the version is the one it asks for and it has not been tried here before. */
    boolean suits(RouteRequest request) {
        return version.equals(request.version()) && !request.excluded().contains(instance);
    }
}
