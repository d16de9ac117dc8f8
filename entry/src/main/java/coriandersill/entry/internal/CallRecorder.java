package coriandersill.entry.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.CallId;
import coriandersill.core.ErrorKind;
import coriandersill.events.EventCode;
import coriandersill.quarantine.QuarantineDecision;
import coriandersill.wire.Message;
import java.util.LinkedHashMap;
import java.util.Map;

/** Writes what becomes of one call to the event log, and counts it. Thread-safe. */
final class CallRecorder {
    private final EntryContext entry;
    private final CallId call;

    CallRecorder(EntryContext entry, CallId call) {
        this.entry = entry;
        this.call = call;
    }

    /** Records that attempt {@code number} failed and that another one follows. */
    void recordRetry(int number, CallFailure failure) {
        entry.metrics().counter("calls.retried").inc();
        entry.events().record(EventCode.CALL_RETRIED, Map.of("call", call, "attempt", number, "kind", failure.kind()));
    }

    /** Records that the call failed. */
    void recordFailure(CallFailure failure) {
        entry.metrics().counter("calls.failed." + failure.kind()).inc();
        entry.events()
                .record(
                        failure.kind() == ErrorKind.OUTCOME_UNKNOWN ? EventCode.OUTCOME_UNKNOWN : EventCode.CALL_FAILED,
                        Map.of(
                                "call", call,
                                "kind", failure.kind(),
                                "ran", failure.ran(),
                                "why", failure.getMessage()));
    }

    /** Records that the call was refused for a part of its prompt, with the evidence. */
    void recordQuarantined(QuarantineDecision.Refused refused) {
        Map<String, Object> details = new LinkedHashMap<>(refused.evidence());
        details.put("call", call);
        entry.events().record(EventCode.CALL_QUARANTINED, details);
    }

    /** Records that a message was not used, or only in part; one that reports nothing new is left out. */
    void recordDropped(Message.CallMessage message, String reason) {
        if (message instanceof Message.Accepted) {
            return;
        }
        entry.metrics().counter("frames.dropped").inc();
        entry.events()
                .record(
                        EventCode.FRAME_DROPPED,
                        Map.of("call", call, "frame", message.getClass().getSimpleName(), "why", reason));
    }
}
