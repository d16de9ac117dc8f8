package coriandersill.membership;

import java.time.Duration;

/**
 * How many connections a {@link ConnectionPlan} gives.
 *
 * @param sameZone how many entries of its own zone reach a sidecar
 * @param sameRegion how many entries of other zones of its region reach it
 * @param otherRegions how many entries of other regions reach it
 * @param perVersion how many sidecars of each service's version an entry reaches at least
 * @param maxFromFloor how many entries reach a sidecar for the sake of {@code perVersion} at most, on average
 * @param peers how many other entries an entry asks for newer configuration
 */
public record PlanSettings(
        int sameZone, int sameRegion, int otherRegions, int perVersion, int maxFromFloor, int peers) {

    /** Refuses negative numbers and a plan that connects nobody. */
    public PlanSettings {
        if (sameZone < 0 || sameRegion < 0 || otherRegions < 0 || perVersion < 0 || peers < 0 || maxFromFloor < 1) {
            throw new IllegalArgumentException("plan: expected no negative number and maxFromFloor of 1 or more");
        }
        if (sameZone + sameRegion + otherRegions < 1) {
            throw new IllegalArgumentException("plan: expected at least one entry for each sidecar");
        }
    }

    /** Returns 4 entries of the zone, 2 of the region and 1 of elsewhere; 2 sidecars a version; 4 peers. */
    public static PlanSettings standard() {
        return new PlanSettings(4, 2, 1, 2, 100, 4);
    }

    /** How many entries each sidecar is reached by at least, when there are as many. */
    public int entriesPerSidecar() {
        return sameZone + sameRegion + otherRegions;
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
