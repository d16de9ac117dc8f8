package coriandersill.experiment;

import java.time.Duration;

/**
 * Something that happens at a stated time.
 *
 * @param at when
 * @param kind what
 * @param index the engine, or the availability zone, that it happens to
 */
public record Fault(Duration at, Kind kind, int index) {

    /** What happens. */
    public enum Kind {
        /** The engine turns cold without warning. */
        ENGINE_TURNS_COLD,
        /** The engine breaks off everything and starts again. */
        ENGINE_DIES,
        /** Operators take the availability zone out. */
        ZONE_OUT,
        /** Operators bring the availability zone back; its engines and sidecars have restarted and are cold. */
        ZONE_IN
    }
}
