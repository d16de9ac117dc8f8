package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.events.EventCode;
import java.util.LinkedHashMap;
import java.util.Map;

/** Writes the attempts of one call to its trace. */
record AttemptTrace(AbstractCall call) {

    /**
     * Records that a request is about to be written, or is held back because its upstream is out of service.
     *
     * @param attempt the number of upstreams that the call was sent to, with this one
     */
    void sent(UpstreamSelector.Selection target, boolean inService, int attempt) {
        Map<String, Object> details = detailsOf(target);
        details.put("zone", target.upstream().zone());
        details.put("attempt", attempt);
        details.put("selected_ms_ago", call.millisSinceSelection());
        details.put("listings_age_ms", call.components.upstreams().listingsAge().toMillis());
        details.put("last_event", call.lastEventId());
        details.put("time_left_ms", call.deadline.timeLeft().toMillis());
        record(inService ? EventCode.CALL_SENT : EventCode.CALL_HELD_BACK, details);
    }

    /**
     * Records that an attempt failed.
     *
     * @param outcome what the call does next
     */
    void failed(UpstreamSelector.Selection target, CallFailure failure, String outcome) {
        Map<String, Object> details = detailsOf(target);
        details.put("failure", failure.kind());
        details.put("ran", failure.ran());
        details.put("detail", failure.getMessage());
        details.put("outcome", outcome);
        record(EventCode.CALL_ATTEMPT_FAILED, details);
    }

    private Map<String, Object> detailsOf(UpstreamSelector.Selection target) {
        Map<String, Object> details = new LinkedHashMap<>();
        details.put("upstream", target.upstream().instance());
        details.putAll(call.runDetails(target));
        return details;
    }

    private void record(EventCode code, Map<String, Object> details) {
        call.trace.record(code, call.deadline.elapsedMillis(), details);
    }
}
