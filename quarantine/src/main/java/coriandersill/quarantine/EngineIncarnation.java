package coriandersill.quarantine;

import coriandersill.core.InstanceId;
import java.util.Objects;

/**
 * One process of an engine; a restarted engine is another one.
 *
 * @param instance the engine
 * @param startedAtMillis when the process started, in Unix milliseconds by its own clock; 0 if unspecified
 */
public record EngineIncarnation(InstanceId instance, long startedAtMillis) {
    /** Throws {@link NullPointerException} if {@code instance} is null. */
    public EngineIncarnation {
        Objects.requireNonNull(instance, "instance");
    }
}
