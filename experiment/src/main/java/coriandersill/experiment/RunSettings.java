package coriandersill.experiment;

import coriandersill.core.WorkspaceName;
import coriandersill.quota.QuotaAmount;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * The settings of one simulation run.
 *
 * @param deployment the simulated deployment
 * @param arrivals the workload, ordered by arrival time
 * @param seed the seed of the random choices outside the workload
 * @param warmUp the time at the start during which arriving calls are not measured
 * @param measured the period after the warm-up during which arriving calls are measured
 * @param maxWait the maximum time from the arrival of a call to its admission by a sidecar
 * @param reportInterval the time between two load reports of a sidecar
 * @param reportDelay the delay after which a load report reaches the entries
 * @param faults the faults to inject
 * @param caps the caps of workspaces, each for all entries together; workspaces that are not listed have none
 */
public record RunSettings(
        Deployment deployment,
        List<Arrival> arrivals,
        long seed,
        Duration warmUp,
        Duration measured,
        Duration maxWait,
        Duration reportInterval,
        Duration reportDelay,
        List<Fault> faults,
        Map<WorkspaceName, QuotaAmount> caps) {

    /** Makes defensive copies of the collections. */
    public RunSettings {
        arrivals = List.copyOf(arrivals);
        faults = List.copyOf(faults);
        caps = Map.copyOf(caps);
    }

    /**
     * Returns settings with load reports every 500 ms that are delayed by 200 ms, a maximum wait of 1.4 s, and neither
     * faults nor caps.
     */
    public static RunSettings of(
            Deployment deployment, List<Arrival> arrivals, long seed, Duration warmUp, Duration measured) {
        return new RunSettings(
                deployment,
                arrivals,
                seed,
                warmUp,
                measured,
                Duration.ofMillis(1_400),
                Duration.ofMillis(500),
                Duration.ofMillis(200),
                List.of(),
                Map.of());
    }

    /** Returns a copy with these faults in place of the previous ones. */
    public RunSettings withFaults(List<Fault> newFaults) {
        return new RunSettings(
                deployment, arrivals, seed, warmUp, measured, maxWait, reportInterval, reportDelay, newFaults, caps);
    }

    /** Returns a copy with these caps in place of the previous ones. */
    public RunSettings withCaps(Map<WorkspaceName, QuotaAmount> newCaps) {
        return new RunSettings(
                deployment, arrivals, seed, warmUp, measured, maxWait, reportInterval, reportDelay, faults, newCaps);
    }
}
