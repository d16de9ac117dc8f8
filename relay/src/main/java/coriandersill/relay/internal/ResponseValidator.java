package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import coriandersill.relay.ResponseHead;
import java.util.Set;

/** Decides whether an upstream's whole answer belongs to the call and what it says of it. */
final class ResponseValidator {
    /** Statuses that promise that a call did not run: 408, 421, 429 and 503. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private ResponseValidator() {}

    /** Returns how the attempt failed, or null if the answer is the call's own and successful. */
    static CallFailure failure(CallPlan plan, ResponseHead head) {
        if (head.notRun()) {
            return CallFailure.of(ErrorKind.OVERLOADED, "upstream refused with " + head.status());
        }
        if (!ownAnswer(plan, head)) {
            return CallFailure.of(ErrorKind.OUTCOME_UNKNOWN, "the answer is another call's");
        }
        if (!head.successful()) {
            return CallFailure.of(ErrorKind.UPSTREAM_ERROR, "upstream answered " + head.status());
        }
        if (!head.signed() || head.encoded()) {
            return CallFailure.of(ErrorKind.OUTCOME_UNKNOWN, "the answer is not the upstream's own work")
                    .withRan(Ran.UNKNOWN);
        }
        return null;
    }

    /**
     * Whether a failed answer may go to the caller as it is: the upstream's own, and no false promise that the call did
     * not run.
     */
    static boolean mayBePassedOn(CallPlan plan, ResponseHead head) {
        return !head.notRun()
                && ownAnswer(plan, head)
                && !head.encoded()
                && !head.successful()
                && !NOT_RUN_STATUSES.contains(head.status());
    }

    private static boolean ownAnswer(CallPlan plan, ResponseHead head) {
        return head.attemptId() == null
                || head.attemptId().equals(plan.request().id());
    }
}
