package coriandersill.membership;

import java.time.Duration;

/**
 * The numbers of connections that a {@link ConnectionPlan} assigns.
 *
 * @param sameZoneEntries the number of entries in a sidecar's own zone that connect to it
 * @param sameRegionEntries the number of entries in other zones of its region that connect to it
 * @param otherRegionEntries the number of entries in other regions that connect to it
 * @param minSidecarsPerVersion the minimum number of sidecars of each service version that an entry connects to
 * @param maxExtraEntriesPerSidecar the maximum average number of entries per sidecar that connect to it only to satisfy
 *     {@code minSidecarsPerVersion}
 * @param peerCount the number of other entries that an entry asks for newer configuration
 */
public record ConnectionPlanSettings(
        int sameZoneEntries,
        int sameRegionEntries,
        int otherRegionEntries,
        int minSidecarsPerVersion,
        int maxExtraEntriesPerSidecar,
        int peerCount) {

    /** Rejects negative numbers and settings that assign no entry to a sidecar. */
    public ConnectionPlanSettings {
        if (sameZoneEntries < 0
                || sameRegionEntries < 0
                || otherRegionEntries < 0
                || minSidecarsPerVersion < 0
                || peerCount < 0
                || maxExtraEntriesPerSidecar < 1) {
            throw new IllegalArgumentException(
                    "connection plan: expected no negative number and maxExtraEntriesPerSidecar of 1 or more, found "
                            + sameZoneEntries + ", " + sameRegionEntries + ", " + otherRegionEntries + ", "
                            + minSidecarsPerVersion + ", " + maxExtraEntriesPerSidecar + " and " + peerCount);
        }
        if (sameZoneEntries + sameRegionEntries + otherRegionEntries < 1) {
            throw new IllegalArgumentException(
                    "connection plan: expected at least one entry for each sidecar, found none");
        }
    }

    /**
     * Returns the default settings: 4 entries in the zone, 2 in the region and 1 in other regions for each sidecar; 2
     * sidecars of each version, for which at most 100 entries connect to a sidecar on average; and 4 peers.
     */
    public static ConnectionPlanSettings standard() {
        return new ConnectionPlanSettings(4, 2, 1, 2, 100, 4);
    }

    /** The minimum number of entries that connect to each sidecar, provided that there are that many. */
    public int minEntriesPerSidecar() {
        return sameZoneEntries + sameRegionEntries + otherRegionEntries;
    }

    /**
     * Returns the interval between heartbeats on each connection that keeps all heartbeats within a bandwidth budget.
     *
     * @param connections the number of open connections
     * @param heartbeatBytes the size of one heartbeat and its answer
     * @param maxBytesPerSecond the bandwidth budget for all heartbeats of a process
     * @param minInterval the interval used if the budget allows it
     */
    public static Duration heartbeatInterval(
            int connections, int heartbeatBytes, int maxBytesPerSecond, Duration minInterval) {
        Duration budgetInterval = Duration.ofMillis(1000L * connections * heartbeatBytes / maxBytesPerSecond);
        return budgetInterval.compareTo(minInterval) > 0 ? budgetInterval : minInterval;
    }
}
