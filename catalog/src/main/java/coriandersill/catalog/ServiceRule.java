package coriandersill.catalog;

import coriandersill.core.ServiceName;
import java.util.Optional;

/**
 * A service as operators declare it.
 *
 * @param name the service
 * @param maxColdCallsPerSecond calls that one cold upstream bears each second; 0 where cold starts do no harm
 * @param engine what its engines are like; empty for plain services
 */
public record ServiceRule(ServiceName name, double maxColdCallsPerSecond, Optional<EngineRule> engine) {}
