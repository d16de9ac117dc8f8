package coriandersill.routing;

import coriandersill.core.RouteName;
import java.time.Duration;
import java.util.Optional;

/**
 * Decides when a second attempt starts beside a slow one; implementations are safe for use by many threads.
 *
 * <p>Only for calls that may run more than once and that deliver no tokens.
 */
public interface HedgePolicy {

    /** Returns how long to wait for the first attempt, or nothing when the call is not hedged. */
    Optional<Duration> delay(RouteName route, boolean repeatableLookup);

    /** Asks, once the delay is over, whether the second attempt may start. */
    boolean tryAcquirePermit();

    /** Notes how long an attempt took. */
    void recordLatency(RouteName route, Duration latency);
}
