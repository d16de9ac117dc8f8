package coriandersill.routing;

import coriandersill.core.InstanceId;
import java.time.Duration;
import java.util.Objects;

/**
 * What an entry tells the others of an engine that decodes more slowly than its peers.
 *
 * @param engine the engine
 * @param reporter the entry that observed it
 * @param slowdown how many times as long as usual the engine takes for an event, above 1
 * @param validity how long the engine is to be avoided from now on, unless the report is renewed
 */
public record SlowEngineReport(InstanceId engine, InstanceId reporter, double slowdown, Duration validity) {
    /** Rejects null, a slowdown of at most 1 and a validity that is not positive. */
    public SlowEngineReport {
        Objects.requireNonNull(engine, "engine");
        Objects.requireNonNull(reporter, "reporter");
        if (!(slowdown > 1) || validity.isNegative() || validity.isZero()) {
            throw new IllegalArgumentException(
                    "expected a slowdown above 1 and a positive validity, found " + slowdown + " and " + validity);
        }
    }
}
