package coriandersill.entry.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.quarantine.EngineIncarnation;
import coriandersill.quarantine.QuarantineDecision;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Asks the quarantine about the prompt of one call, and tells it how upstreams fared with the prompt. Thread-safe.
 *
 * @see coriandersill.quarantine.PromptQuarantine
 */
final class PromptCheck {
    private final EntryContext entry;
    private final CallPlan plan;
    private final CallRecorder recorder;

    PromptCheck(EntryContext entry, CallPlan plan, CallRecorder recorder) {
        this.entry = entry;
        this.plan = plan;
        this.recorder = recorder;
    }

    /** Returns why the call must not be sent, and records it; empty if no part of its prompt is quarantined. */
    Optional<CallFailure> refusal() {
        QuarantineDecision decision = entry.quarantine().check(plan.id().toString(), plan.traits());
        if (!(decision instanceof QuarantineDecision.Refused refused)) {
            return Optional.empty();
        }
        recorder.recordQuarantined(refused);
        String reason = "a part of the prompt was in generations at "
                + refused.verdict().crashes()
                + " consecutive crashes of upstreams";
        return Optional.of(CallFailure.of(ErrorKind.QUARANTINED, reason).withRetryAfter(refused.retryAfter()));
    }

    /** Reports that an upstream has proven to serve the prompt. */
    void recordSuccess() {
        entry.workers().executeOrRun(() -> entry.quarantine().recordSuccess(plan.traits()));
    }

    /** Reports that an upstream ended; its starts have no identifier, so the time tells its processes apart. */
    void recordCrash(InstanceId upstream) {
        long seconds = Duration.ofNanos(entry.clock().nanos()).toSeconds();
        EngineIncarnation incarnation = new EngineIncarnation(upstream, seconds);
        entry.workers().executeOrRun(() -> entry.quarantine().recordOwnCrash(incarnation, List.of(plan.traits())));
    }
}
