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
 */
public record ServiceDefinition(ServiceName name, double maxColdCallsPerSecond, Optional<EngineProperties> engine) {}
