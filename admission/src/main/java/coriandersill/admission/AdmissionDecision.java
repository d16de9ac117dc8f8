package coriandersill.admission;

import coriandersill.core.CallFailure;
import coriandersill.core.CallId;

/** What becomes of a request that asked for room. */
public sealed interface AdmissionDecision {

    /** The call that this is about. */
    CallId id();

    /**
     * The request goes to the upstream now.
     *
     * @param id the call
     */
    record Admitted(CallId id) implements AdmissionDecision {}

    /**
     * The request waits; a later {@link Admitted} or {@link Refused} follows.
     *
     * @param id the call
     */
    record Waiting(CallId id) implements AdmissionDecision {}

    /**
     * The request is refused and was not run.
     *
     * @param id the call
     * @param failure why, and when to retry
     */
    record Refused(CallId id, CallFailure failure) implements AdmissionDecision {}
}
