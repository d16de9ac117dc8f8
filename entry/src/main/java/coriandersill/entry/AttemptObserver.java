package coriandersill.entry;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;

/** Hears how attempts at upstreams went; called on event loops, so implementations do not block. */
@FunctionalInterface
public interface AttemptObserver {

    /** Takes one attempt that was answered or that the upstream failed. */
    void onAttempt(ObservedAttempt call);

    /** Returns an observer that forgets. */
    static AttemptObserver none() {
        return call -> {};
    }

    /**
     * One attempt at an upstream.
     *
     * @param service the service
     * @param version the version that ran it
     * @param route the route within the service
     * @param zone the upstream's availability zone
     * @param failed whether the upstream failed it
     * @param firstTokenNanos time from dispatch to the first token or the answer; -1 without one
     * @param betweenTokensNanos mean time between tokens; -1 with fewer than two
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
