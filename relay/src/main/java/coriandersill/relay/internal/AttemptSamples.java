package coriandersill.relay.internal;

import coriandersill.core.RouteName;
import coriandersill.rollout.CallSample;
import coriandersill.rollout.OrderedRollouts;
import coriandersill.upstreams.Upstream;
import coriandersill.upstreams.UpstreamTable;

/**
 * Counts the attempts of one call as evidence for the rollout of its service. Attempts at an upstream that is still
 * warming up are left out.
 */
record AttemptSamples(OrderedRollouts rollouts, UpstreamTable upstreams, RouteName route) {

    /** Records that an attempt failed after it may have run. */
    void failed(Upstream upstream) {
        record(upstream, true, CallSample.NOT_MEASURED, CallSample.NOT_MEASURED);
    }

    /** Records the time to the first event or to the response, or the time so far if there is none yet. */
    void begun(Upstream upstream, long nanos) {
        record(upstream, false, nanos, CallSample.NOT_MEASURED);
    }

    /** Records the mean time between the events of a stream that has ended. */
    void paced(Upstream upstream, long nanos) {
        record(upstream, false, CallSample.NOT_MEASURED, nanos);
    }

    private void record(Upstream upstream, boolean failed, long firstNanos, long betweenNanos) {
        if (rollouts.isObserved(upstream.service()) && !upstreams.isCold(upstream.instance())) {
            rollouts.record(new CallSample(
                    upstream.service(), upstream.version(), route, upstream.zone(), failed, firstNanos, betweenNanos));
        }
    }
}
