package coriandersill.catalog;

import coriandersill.core.ServiceName;
import java.util.Optional;

/**
 * A declared service.
 *
 * @param name the name of the service
 * @param maxColdCallsPerSecond the number of calls per second that one cold upstream can handle; 0 if cold starts need
 *     no limit
 * @param engine the properties of its engines; empty for plain services
 * @param scaling the limits for the number of its upstreams; empty if that number is not for this system to set
 */
public record ServiceDefinition(
        ServiceName name,
        double maxColdCallsPerSecond,
        Optional<EngineProperties> engine,
        Optional<ScalingLimits> scaling) {
    /** Returns a service whose number of upstreams is not for this system to set. */
    public static ServiceDefinition of(
            ServiceName name, double maxColdCallsPerSecond, Optional<EngineProperties> engine) {
        return new ServiceDefinition(name, maxColdCallsPerSecond, engine, Optional.empty());
    }
}
