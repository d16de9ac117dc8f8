package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.core.Ran;
import coriandersill.relay.ResponseHead;
import coriandersill.routing.AttemptFailure;
import coriandersill.routing.CallResult;
import coriandersill.routing.RetryDecision;
import coriandersill.routing.RetryPolicy;
import io.vertx.core.buffer.Buffer;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The attempts of one call: counts them, and decides after a failed one whether the call is sent to another upstream.
 *
 * <p>Confined to the Vert.x context of the call.
 */
final class CallAttempts {
    /** The maximum number of upstreams that a call is sent to, including those that reject it. */
    private static final int MAX_SENDS = 4;

    /** The number of unreachable upstreams after which a call fails. */
    private static final int MAX_UNREACHABLE_UPSTREAMS = 5;

    private final AbstractCall call;
    private final RelayComponents components;
    private final RetryPolicy retryPolicy;
    private final AttemptTrace trace;
    private final Set<InstanceId> excluded = new HashSet<>();
    private Ran ranBefore = Ran.NO;
    private int sendCount;

    /** The number of failed attempts that may have run; rejected ones do not count as attempts for the retry policy. */
    private int possibleRunCount;

    private int unreachableCount;

    CallAttempts(AbstractCall call) {
        this.call = call;
        this.components = call.components;
        this.retryPolicy = components.retryPolicies().forCall(call.plan);
        this.trace = new AttemptTrace(call);
    }

    /** Records that the call has started. */
    void callStarted() {
        retryPolicy.callStarted();
    }

    /** Counts an attempt that is about to be made. */
    void countSend() {
        sendCount++;
    }

    /** Returns whether no upstream was sent the call; those that could not be reached do not count. */
    boolean isUnsent() {
        return sendCount == 0;
    }

    /** Returns whether the call ran in a failed attempt. */
    Ran ranBefore() {
        return ranBefore;
    }

    /** Returns the upstreams of failed attempts, which the call is not sent to again. */
    Set<InstanceId> excluded() {
        return Set.copyOf(excluded);
    }

    /** Lets the call be sent to any upstream again. */
    void clearExcluded() {
        excluded.clear();
    }

    /**
     * Returns whether the selected upstream still accepts new work and records it in the trace; if not, passes the
     * failure to {@code onOutOfService}. Called immediately before the request is written.
     */
    boolean confirmInService(UpstreamSelector.Selection target, Consumer<CallFailure> onOutOfService) {
        boolean inService = components
                .upstreams()
                .inService(target.upstream().instance())
                .filter(upstream -> components.rollouts().permits(upstream.service(), upstream.version()))
                .isPresent();
        trace.sent(target, inService, sendCount);
        if (call.steps.hasEnded()) {
            return false;
        }
        if (!inService) {
            onOutOfService.accept(CallFailure.of(ErrorKind.DRAINING, "upstream left before the request was written"));
        }
        if (inService && call.isRefusedByQuarantine()) {
            call.place.recordResult(target, CallResult.failed(ErrorKind.DRAINING));
            call.exchange = null;
            return false;
        }
        return inService;
    }

    /** Ends a failed attempt, and retries the call on another upstream if that is safe and permitted. */
    void failed(UpstreamSelector.Selection target, CallFailure failure) {
        failed(target, failure, null, null);
    }

    /**
     * Ends a failed attempt; if the call is not retried, the upstream's own response is forwarded to the caller.
     *
     * @param head the upstream's response, or null if there is none to forward
     * @param responseBody its body; not used if {@code head} is null
     */
    void failed(UpstreamSelector.Selection target, CallFailure failure, ResponseHead head, Buffer responseBody) {
        if (call.steps.hasEnded()) {
            return;
        }
        // An attempt that did not run says nothing about the upstream's health; DRAINING counts as refused.
        call.place.recordResult(
                target, CallResult.failed(failure.ran() == Ran.NO ? ErrorKind.DRAINING : failure.kind()));
        call.exchange = null;
        excluded.add(target.upstream().instance());
        if (failure.kind() == ErrorKind.UNAVAILABLE && failure.ran() == Ran.NO) {
            handleUnreachable(target, failure);
            return;
        }
        if (failure.ran() != Ran.NO) {
            possibleRunCount++;
            call.samples.failed(target.upstream());
        }
        if (decide(failure) instanceof RetryDecision.GiveUp givenUp) {
            trace.failed(target, failure, "given up: " + givenUp.reason());
            if (head == null) {
                call.fail(givenUp.failure());
            } else {
                call.sendResponse(head, responseBody);
            }
            return;
        }
        trace.failed(target, failure, "repeated");
        components.metrics().increment("relay.repeated");
        call.findUpstream();
    }

    /** Decides whether to retry after a failed attempt, which counts as an earlier one from now on. */
    private RetryDecision decide(CallFailure failure) {
        AttemptFailure attempt = attempt(failure, possibleRunCount);
        ranBefore = attempt.ranInAnyAttempt();
        return sendCount >= MAX_SENDS
                ? new RetryDecision.GiveUp("sent to " + sendCount + " upstreams", failure.withRan(ranBefore))
                : retryPolicy.decide(attempt);
    }

    private AttemptFailure attempt(CallFailure failure, int number) {
        return new AttemptFailure(
                failure,
                call.plan.route().repeatable(),
                call.unresumableEvents(),
                number,
                call.deadline.timeLeft(),
                ranBefore);
    }

    /**
     * Takes back a call that its upstream has not begun, and sends it to another one. Does nothing if it may not be
     * sent again, or if the retry budget is exhausted: it then stays where it is.
     *
     * @param reason why the call is taken back
     */
    void restartElsewhere(String reason) {
        if (call.steps.hasEnded() || call.exchange == null || sendCount >= MAX_SENDS) {
            return;
        }
        CallFailure failure = CallFailure.of(ErrorKind.DRAINING, reason).withRan(Ran.UNKNOWN);
        AttemptFailure attempt = attempt(failure, possibleRunCount + 1);
        if (retryPolicy.decide(attempt) instanceof RetryDecision.GiveUp) {
            return;
        }
        possibleRunCount++;
        ranBefore = attempt.ranInAnyAttempt();
        UpstreamSelector.Selection left = call.selection;
        call.cancelExchange(ErrorKind.DRAINING);
        excluded.add(left.upstream().instance());
        trace.failed(left, failure, "taken back");
        components.metrics().increment("relay.repeated");
        call.findUpstream();
    }

    /** Retries on another upstream after a connection failure, where no part of the request was written. */
    private void handleUnreachable(UpstreamSelector.Selection target, CallFailure failure) {
        components.upstreams().markUnreachable(target.upstream().instance());
        sendCount--;
        unreachableCount++;
        boolean mayTryAnother = unreachableCount < MAX_UNREACHABLE_UPSTREAMS;
        trace.failed(target, failure, mayTryAnother ? "trying another upstream" : "given up");
        if (mayTryAnother) {
            call.findUpstream();
        } else {
            call.fail(failure.withRan(ranBefore));
        }
    }
}
