package coriandersill.membership;

import java.time.Duration;

/**
 * How many connections a {@link ConnectionPlan} gives.
 *
 * @param sameZoneEntries how many entries of its own zone reach a sidecar
 * @param sameRegionEntries how many entries of other zones of its region reach it
 * @param otherRegionEntries how many entries of other regions reach it
 * @param minSidecarsPerVersion how many sidecars of each service's version an entry reaches at least
 * @param maxFromFloor how many entries reach a sidecar for the sake of {@code perVersion} at most, on average
 * @param peerCount how many other entries an entry asks for newer configuration
 */
public record ConnectionPlanSettings(
        int sameZoneEntries,
        int sameRegionEntries,
        int otherRegionEntries,
        int minSidecarsPerVersion,
        int maxFromFloor,
        int peerCount) {

    /** Refuses negative numbers and a plan that connects nobody. */
    public ConnectionPlanSettings {
        if (sameZoneEntries < 0
                || sameRegionEntries < 0
                || otherRegionEntries < 0
                || minSidecarsPerVersion < 0
                || peerCount < 0
                || maxFromFloor < 1) {
            throw new IllegalArgumentException("plan: expected no negative number and maxFromFloor of 1 or more");
        }
        if (sameZoneEntries + sameRegionEntries + otherRegionEntries < 1) {
            throw new IllegalArgumentException("plan: expected at least one entry for each sidecar");
        }
    }

    /** Returns 4 entries of the zone, 2 of the region and 1 of elsewhere; 2 sidecars a version; 4 peers. */
    public static ConnectionPlanSettings standard() {
        return new ConnectionPlanSettings(4, 2, 1, 2, 100, 4);
    }

    /** How many entries each sidecar is reached by at least, when there are as many. */
    public int minEntriesPerSidecar() {
        return sameZoneEntries + sameRegionEntries + otherRegionEntries;
    }

    /**
     * Returns how often to send heartbeats over each of {@code connections} connections.
     *
     * @param connections how many connections are open
     * @param bytes what one heartbeat and its answer take
     * @param bytesPerSecond what all heartbeats of a process may take
     * @param shortest the interval when the budget allows it
     */
    public static Duration heartbeatInterval(int connections, int bytes, int bytesPerSecond, Duration shortest) {
        Duration affordable = Duration.ofMillis(1000L * connections * bytes / bytesPerSecond);
        return affordable.compareTo(shortest) > 0 ? affordable : shortest;
    }
}
