package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import coriandersill.relay.ResponseHead;
import java.util.Set;

/** Decides whether an upstream's response belongs to the call and whether the call succeeded. */
final class ResponseValidator {
    /** Statuses that state that a call was not executed: 408, 421, 429 and 503. */
    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

    private static final int MISDIRECTED_REQUEST = 421;

    private ResponseValidator() {}

    /**
     * Returns the failure of the attempt. It is null if the response belongs to the call, is successful, carries the
     * upstream's signature and has no content encoding. A refusal of another call says nothing about this one, which
     * may have run.
     */
    static CallFailure failure(CallPlan plan, ResponseHead head) {
        if (!belongsToCall(plan, head)) {
            return CallFailure.of(ErrorKind.OUTCOME_UNKNOWN, "the answer is another call's")
                    .withRan(Ran.UNKNOWN);
        }
        if (head.notExecuted()) {
            return CallFailure.of(ErrorKind.OVERLOADED, "upstream refused with " + head.status());
        }
        if (!head.successful()) {
            return CallFailure.of(ErrorKind.UPSTREAM_ERROR, "upstream answered " + head.status());
        }
        if (!head.signed() || head.contentEncoded()) {
            return CallFailure.of(ErrorKind.OUTCOME_UNKNOWN, "the answer is not the upstream's own work")
                    .withRan(Ran.UNKNOWN);
        }
        return null;
    }

    /** Returns whether the response shows that the upstream has begun the call: it is the upstream's and no refusal. */
    static boolean showsExecution(CallPlan plan, ResponseHead head) {
        CallFailure failure = failure(plan, head);
        return failure == null
                || (failure.kind() == ErrorKind.UPSTREAM_ERROR && !NOT_EXECUTED_STATUSES.contains(head.status()));
    }

    /**
     * Returns whether an error response may be forwarded to the caller unchanged: it belongs to the call, and its
     * status does not wrongly state that the call was not executed.
     */
    static boolean isForwardable(CallPlan plan, ResponseHead head) {
        return !head.notExecuted()
                && belongsToCall(plan, head)
                && !head.contentEncoded()
                && !head.successful()
                && !NOT_EXECUTED_STATUSES.contains(head.status());
    }

    /**
     * Returns whether what the response states of its upstream's load may be used: it is a success of the call, or a
     * refusal that names the call.
     */
    static boolean mayStateLoad(CallPlan plan, ResponseHead head) {
        if (head.notExecuted()) {
            return plan.request().id().equals(head.callId());
        }
        return failure(plan, head) == null;
    }

    /**
     * Returns whether what the response says of its upstream may be believed: it is not another call's, and does not
     * come from another instance at the same address.
     */
    static boolean mayStateOfItself(CallPlan plan, ResponseHead head) {
        return belongsToCall(plan, head) && head.status() != MISDIRECTED_REQUEST;
    }

    /** Returns whether the response names this call; one that names no call also counts as its response. */
    private static boolean belongsToCall(CallPlan plan, ResponseHead head) {
        return head.callId() == null || head.callId().equals(plan.request().id());
    }
}
