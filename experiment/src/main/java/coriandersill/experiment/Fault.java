package coriandersill.experiment;

import java.time.Duration;

/**
 * A fault injected into a simulation.
 *
 * @param time the virtual time of the fault
 * @param kind the kind of fault
 * @param index the index of the affected engine or availability zone
 */
public record Fault(Duration time, Kind kind, int index) {

    /** The kinds of faults. */
    public enum Kind {
        /** The engine becomes cold, and its sidecar is not notified. */
        ENGINE_TURNS_COLD,
        /** The engine fails all its generations and restarts. */
        ENGINE_CRASHES,
        /** Operators take the availability zone out of service. */
        ZONE_OUT,
        /** Operators return the availability zone to service; its engines and sidecars have restarted and are cold. */
        ZONE_IN
    }
}
