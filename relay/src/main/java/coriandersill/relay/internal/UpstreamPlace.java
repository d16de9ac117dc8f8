package coriandersill.relay.internal;

import coriandersill.core.ErrorKind;
import coriandersill.routing.CallResult;

/**
 * The place that one call occupies at an upstream, where it counts as running until its result is reported to the
 * router.
 *
 * <p>Confined to the Vert.x context of the call; the router, a shared table, is told on the worker pool.
 */
final class UpstreamPlace {
    private final RelayComponents components;

    /** The upstream at which the call counts as running, until its result is reported; null if there is none. */
    private UpstreamSelector.Selection held;

    UpstreamPlace(RelayComponents components) {
        this.components = components;
    }

    /** Records that the call now counts as running at {@code target}. */
    void take(UpstreamSelector.Selection target) {
        held = target;
    }

    /**
     * Reports the result of an attempt to the router, where the call then no longer counts as running; once only, since
     * each report gives a place back.
     */
    void recordResult(UpstreamSelector.Selection target, CallResult result) {
        if (target.equals(held)) {
            held = null;
            report(target, result);
        }
    }

    /** Gives back a place that was reserved after the call had ended. */
    void returnUnused(UpstreamSelector.Selection target) {
        report(target, CallResult.failed(ErrorKind.CANCELLED));
    }

    /**
     * Gives back the place at an upstream whose result is not known; DRAINING, which counts as refused, blames none.
     */
    void release() {
        if (held != null) {
            recordResult(held, CallResult.failed(ErrorKind.DRAINING));
        }
    }

    private void report(UpstreamSelector.Selection target, CallResult result) {
        components.workers().executeOrRun(() -> {
            components.selector().recordResult(target, result);
            components.dispatchQueue().roomReleased(target.upstream().service());
        });
    }
}
