package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.events.EventCode;
import coriandersill.quarantine.CallTraits;
import coriandersill.quarantine.PromptQuarantine;
import coriandersill.quarantine.QuarantineDecision;
import java.util.Optional;

/** Checks one call against the quarantine of prompt parts, and writes the evidence of a refusal to its trace. */
record QuarantineCheck(
        PromptQuarantine quarantine, RelayMetrics metrics, CallTrace trace, String callId, CallTraits traits) {

    /**
     * Returns the failure of the call if it must not be sent to an engine.
     *
     * @param atMillis the time since the call arrived, for the trace
     */
    Optional<CallFailure> check(long atMillis) {
        QuarantineDecision decision = quarantine.check(callId, traits);
        if (decision instanceof QuarantineDecision.Probe probe) {
            trace.record(EventCode.QUARANTINE_PROBE, atMillis, probe.verdict().evidence());
        }
        if (!(decision instanceof QuarantineDecision.Refused refused)) {
            return Optional.empty();
        }
        trace.record(EventCode.CALL_QUARANTINED, atMillis, refused.evidence());
        metrics.increment("relay.quarantine.refused");
        String message = "a part of the prompt was in generations at "
                + refused.verdict().crashes() + " consecutive crashes of engines";
        return Optional.of(CallFailure.of(ErrorKind.QUARANTINED, message).withRetryAfter(refused.retryAfter()));
    }
}
