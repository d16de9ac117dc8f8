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

    /**
     * Returns how long to wait for the first attempt before hedging, or empty if the call is not hedged. Called once
     * for each call, because an implementation may count the calls.
     *
     * @param route the route of the call
     * @param repeatablePlainCall whether the call may run more than once and does not stream tokens
     */
    Optional<Duration> delay(RouteName route, boolean repeatablePlainCall);

    /** Takes a permit to start the second attempt after the delay; returns false if none is available. */
    boolean tryAcquirePermit();

    /** Records the latency of a completed attempt. */
    void recordLatency(RouteName route, Duration latency);
}
