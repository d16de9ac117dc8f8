package coriandersill.admission;

import coriandersill.core.CallFailure;
import coriandersill.core.CallId;

/** The decision on a request for admission. */
public sealed interface AdmissionDecision {

    /** Returns the call that the decision is about. */
    CallId id();

    /**
     * The request is admitted and is to be sent to the upstream now.
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
     * @param failure the reason and, if known, when to retry
     */
    record Refused(CallId id, CallFailure failure) implements AdmissionDecision {}
}
