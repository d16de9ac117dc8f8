package coriandersill.routing;

import coriandersill.core.RouteName;
import java.time.Duration;
import java.util.Optional;

/**
 * Decides when to start a second, concurrent attempt because the first is slow. Implementations are thread-safe.
 *
 * <p>Applies only to calls that may run more than once and that do not stream tokens.
 */
public interface HedgePolicy {

    /** Returns how long to wait for the first attempt before hedging, or empty if the call is not hedged. */
    Optional<Duration> delay(RouteName route, boolean repeatableLookup);

    /** Takes a permit to start the second attempt after the delay; returns false if none is available. */
    boolean tryAcquirePermit();

    /** Records the latency of a completed attempt. */
    void recordLatency(RouteName route, Duration latency);
}
