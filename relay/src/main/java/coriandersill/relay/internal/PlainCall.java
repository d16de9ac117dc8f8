package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import coriandersill.relay.ResponseHead;
import coriandersill.routing.CallResult;
import io.vertx.core.buffer.Buffer;

/** A call whose answer is checked as a whole before any of it goes to the caller. */
final class PlainCall extends AbstractCall {
    PlainCall(
            RelayComponents parts, CallPlan plan, Buffer body, CallerConnection caller, CallTrace trace, long arrived) {
        super(parts, plan, body, caller, trace, arrived);
    }

    @Override
    UpstreamExchange.Listener listener(UpstreamSelector.Selection target) {
        return new WholeAnswer(target);
    }

    @Override
    long lastEventId() {
        return plan.request().lastEventId();
    }

    @Override
    long deliveredAndLost() {
        return 0;
    }

    @Override
    void release() {}

    private final class WholeAnswer implements UpstreamExchange.Listener {
        private final UpstreamSelector.Selection target;
        private final Buffer answer = Buffer.buffer();
        private final long sentAt = parts.clock().nanos();
        private ResponseHead head;

        private WholeAnswer(UpstreamSelector.Selection target) {
            this.target = target;
        }

        @Override
        public boolean sending() {
            return mayBeSent(target);
        }

        @Override
        public void head(ResponseHead received) {
            head = received;
            parts.upstreams().reached(target.upstream().instance());
        }

        @Override
        public void data(Buffer bytes) {
            answer.appendBuffer(bytes);
        }

        @Override
        public void ended() {
            CallFailure failure = ResponseValidator.failure(plan, head);
            if (failure != null) {
                boolean passedOn = ResponseValidator.mayBePassedOn(plan, head);
                attemptFailed(target, failure, passedOn ? head : null, answer);
                return;
            }
            long nanos = parts.clock().nanos() - sentAt;
            finishAttempt(target, CallResult.ok(nanos, 0, 0));
            exchange = null;
            parts.meters().answered(elapsedNanos());
            deliver(head, answer);
        }

        @Override
        public void failed(CallFailure failure) {
            boolean unsent = failure.kind() == ErrorKind.UNAVAILABLE;
            attemptFailed(target, unsent ? failure.withRan(Ran.NO) : failure);
        }
    }
}
