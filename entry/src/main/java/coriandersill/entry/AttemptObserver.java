package coriandersill.entry;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;

/** Observes the results of attempts at upstreams; called on event loops, so implementations must not block. */
@FunctionalInterface
public interface AttemptObserver {

    /** Called once for each attempt that succeeded or failed; refused and cancelled attempts are not reported. */
    void onAttempt(ObservedAttempt attempt);

    /** Returns an observer that does nothing. */
    static AttemptObserver none() {
        return attempt -> {};
    }

    /**
     * One attempt at an upstream.
     *
     * @param service the service
     * @param version the version of the upstream
     * @param route the route within the service
     * @param zone the upstream's availability zone
     * @param failed whether the attempt failed
     * @param firstTokenNanos time from dispatch to the first token or the response; -1 if the attempt failed
     * @param betweenTokensNanos mean time between tokens; -1 with fewer than two tokens
     */
    record ObservedAttempt(
            ServiceName service,
            VersionName version,
            RouteName route,
            AvailabilityZone zone,
            boolean failed,
            long firstTokenNanos,
            long betweenTokensNanos) {}
}
