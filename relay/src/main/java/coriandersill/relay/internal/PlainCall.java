package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import coriandersill.relay.ResponseHead;
import coriandersill.responses.BodyEnd;
import coriandersill.responses.ProcessEvidence;
import coriandersill.responses.RequestEvidence;
import coriandersill.routing.CallResult;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Map;

/** A call whose response is buffered and validated as a whole before any of it is sent to the caller. */
final class PlainCall extends AbstractCall {
    private static final int MAX_RESPONSE_BYTES = 4 << 20;

    /** How often a response that is not read for want of memory asks for it again. */
    private static final Duration MEMORY_RETRY_INTERVAL = Duration.ofMillis(20);

    private BodyBuffer currentBody;

    PlainCall(
            RelayComponents components,
            CallPlan plan,
            Buffer body,
            CallerConnection caller,
            CallTrace trace,
            long arrivedAtNanos) {
        super(components, plan, body, caller, trace, arrivedAtNanos);
    }

    @Override
    UpstreamExchange.Listener createListener(UpstreamSelector.Selection target) {
        return new WholeResponseListener(target);
    }

    @Override
    long lastEventId() {
        return plan.request().lastEventId();
    }

    @Override
    boolean hasBegun() {
        return false;
    }

    @Override
    boolean mayRunWithoutExchange() {
        return false;
    }

    @Override
    long unresumableEvents() {
        return 0;
    }

    @Override
    Map<String, ?> runDetails(UpstreamSelector.Selection target) {
        return Map.of();
    }

    @Override
    long deliveredEvents() {
        return 0;
    }

    @Override
    void releaseResources() {
        if (currentBody != null) {
            currentBody.release();
        }
    }

    private final class WholeResponseListener implements UpstreamExchange.Listener {
        private final UpstreamSelector.Selection target;
        private final BodyBuffer responseBody = new BodyBuffer(components.bodyMemory(), MAX_RESPONSE_BYTES);
        private final long sentAtNanos = components.clock().nanos();
        private ResponseHead head;
        private RequestEvidence requestAtEnd = RequestEvidence.NOT_WRITTEN;

        /** How long reading was paused for memory, which is not the upstream's time. */
        private long pausedNanos;

        private WholeResponseListener(UpstreamSelector.Selection target) {
            this.target = target;
            currentBody = responseBody;
        }

        @Override
        public boolean beforeSend() {
            return attempts.confirmInService(target, failure -> attempts.failed(target, failure));
        }

        @Override
        public void head(ResponseHead received) {
            head = received;
            components.upstreams().markReachable(target.upstream().instance());
            obeyStatements(target, received);
            if (ResponseValidator.showsExecution(plan, received)) {
                components.executions().executionBegan(plan.service().name(), plan.workspace());
            }
            reserveBody(exchange);
        }

        /**
         * Takes the memory for a body of stated size before it is read; reading is paused while there is too little.
         * Bodies that are all read in part take the memory from each other until none of them can be completed.
         */
        private void reserveBody(UpstreamExchange reading) {
            if (reading != exchange || !reading.isOpen()) {
                return;
            }
            boolean reserved = responseBody.tryReserve(reading.statedBodyBytes().orElse(0));
            if (reading.isPaused() == reserved) {
                reading.setPaused(!reserved);
            }
            if (!reserved) {
                pausedNanos += MEMORY_RETRY_INTERVAL.toNanos();
                steps.runLater(MEMORY_RETRY_INTERVAL.toMillis(), () -> reserveBody(reading));
            }
        }

        @Override
        public void data(Buffer bytes) {
            BodyBuffer.Outcome outcome = responseBody.append(bytes);
            if (outcome != BodyBuffer.Outcome.ADDED) {
                exchange.cancel();
                failed(CallFailure.of(
                                ErrorKind.OUTCOME_UNKNOWN,
                                "response body: expected at most " + MAX_RESPONSE_BYTES + " bytes, found more than "
                                        + responseBody.bytes().length() + " (" + outcome + ")")
                        .withRan(Ran.UNKNOWN));
            }
        }

        @Override
        public void ended() {
            requestAtEnd = exchange.requestEvidence();
            judgeEnd(ProcessEvidence.NOT_ASKED);
        }

        private void judgeEnd(ProcessEvidence process) {
            BodyEnd end = new BodyEnd(head.framing(), requestAtEnd, process);
            switch (end.verdict()) {
                case WHOLE -> complete();
                case ASK_PROCESS -> askWhetherProcessRuns(target, this::judgeEnd);
                default -> failed(unprovenEnd(end.doubt()));
            }
        }

        private void complete() {
            responseBody.release();
            recordLoad(target, head);
            CallFailure failure = ResponseValidator.failure(plan, head);
            if (failure != null) {
                boolean forwardable = ResponseValidator.isForwardable(plan, head);
                attempts.failed(target, failure, forwardable ? head : null, responseBody.bytes());
                return;
            }
            long responseNanos = Math.max(0, components.clock().nanos() - sentAtNanos - pausedNanos);
            place.recordResult(target, CallResult.ok(responseNanos, 0, 0));
            samples.begun(target.upstream(), responseNanos);
            exchange = null;
            components.metrics().recordResponseTime(elapsedNanos());
            sendResponse(head, responseBody.bytes());
        }

        @Override
        public void failed(CallFailure failure) {
            responseBody.release();
            if (head != null && head.notExecuted()) {
                // A refusal is one by its head, whatever becomes of its body.
                attempts.failed(target, ResponseValidator.failure(plan, head));
                return;
            }
            boolean unsent = failure.kind() == ErrorKind.UNAVAILABLE;
            attempts.failed(target, unsent ? failure.withRan(Ran.NO) : failure);
        }
    }
}
