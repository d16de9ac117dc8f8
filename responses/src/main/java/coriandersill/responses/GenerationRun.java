package coriandersill.responses;

import coriandersill.core.InstanceId;
import java.util.Objects;

/**
 * One run of a call's generation: the request that began it at an engine, or that continued it there after a move.
 *
 * @param number the position among the runs of the call, from 1
 * @param engine the engine that was asked
 */
public record GenerationRun(int number, InstanceId engine) {

    /**
     * Checks the arguments.
     *
     * @throws IllegalArgumentException if the number is below 1
     * @throws NullPointerException if the engine is null
     */
    public GenerationRun {
        Objects.requireNonNull(engine, "engine");
        if (number < 1) {
            throw new IllegalArgumentException("number: expected at least 1, found " + number);
        }
    }
}
