package coriandersill.experiment;

import coriandersill.core.WorkspaceName;
import coriandersill.quota.QuotaAmount;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * One run: where, with which arrivals, and what is measured.
 *
 * @param deployment where it runs
 * @param arrivals the arrivals in order of time
 * @param seed of the choices that are not part of the workload
 * @param warmUp calls that arrive before this count for nothing
 * @param measured calls count that arrive for this long after the warm-up
 * @param maxWait how long a call may wait for room after its arrival
 * @param reportEvery the time between two load reports of a sidecar
 * @param reportLag how late they reach the entries
 * @param faults what happens to engines and zones
 * @param caps the caps of workspaces over all entries; the others have none
 */
public record RunSettings(
        Deployment deployment,
        List<Arrival> arrivals,
        long seed,
        Duration warmUp,
        Duration measured,
        Duration maxWait,
        Duration reportEvery,
        Duration reportLag,
        List<Fault> faults,
        Map<WorkspaceName, QuotaAmount> caps) {

    /** Copies the lists. */
    public RunSettings {
        arrivals = List.copyOf(arrivals);
        faults = List.copyOf(faults);
        caps = Map.copyOf(caps);
    }

    /** Returns a run with reports every 500 ms that lag by 200 ms, a wait of 1.4 s and no faults or caps. */
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

    /** Returns the same run with faults. */
    public RunSettings withFaults(List<Fault> more) {
        return new RunSettings(
                deployment, arrivals, seed, warmUp, measured, maxWait, reportEvery, reportLag, more, caps);
    }

    /** Returns the same run with caps. */
    public RunSettings withCaps(Map<WorkspaceName, QuotaAmount> more) {
        return new RunSettings(
                deployment, arrivals, seed, warmUp, measured, maxWait, reportEvery, reportLag, faults, more);
    }
}
