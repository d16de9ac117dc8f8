package coriandersill.routing;

import coriandersill.core.InstanceId;
import java.util.Objects;

/**
 * What an entry tells the others of the lasting pace of an engine.
 *
 * @param engine the engine
 * @param startedAtMillis the incarnation of the engine, by its listing
 * @param reporter the entry that observed it
 * @param stepNanos the time of a decoding step at the mean batch of the service, in nanoseconds
 */
public record EnginePaceReport(InstanceId engine, long startedAtMillis, InstanceId reporter, double stepNanos) {
    /** The longest step that counts; longer ones are outages rather than paces. */
    private static final double MAX_STEP_NANOS = 10e9;

    /** Rejects null and a time that is not positive or above ten seconds. */
    public EnginePaceReport {
        Objects.requireNonNull(engine, "engine");
        Objects.requireNonNull(reporter, "reporter");
        if (!(stepNanos > 0 && stepNanos <= MAX_STEP_NANOS)) {
            throw new IllegalArgumentException(
                    "stepNanos: expected more than 0 and at most " + MAX_STEP_NANOS + ", found " + stepNanos);
        }
    }
}
