package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import coriandersill.events.EventCode;
import coriandersill.relay.ResponseHead;
import coriandersill.responses.BodyEnd;
import coriandersill.responses.GenerationRun;
import coriandersill.responses.ProcessEvidence;
import coriandersill.responses.RequestEvidence;
import coriandersill.responses.StopEvidence;
import coriandersill.responses.StreamEnd;
import coriandersill.routing.CallResult;
import io.vertx.core.buffer.Buffer;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The response of an engine to one run of a generation: checks that it is the stream that is expected, forwards its
 * events, and judges its end.
 *
 * <p>Confined to the Vert.x context of the call.
 */
final class GenerationStream implements UpstreamExchange.Listener {
    /** Error responses are short; a longer one is not forwarded. */
    private static final int MAX_ERROR_BODY_BYTES = 64 << 10;

    private final GenerationCall call;
    private final RelayComponents components;
    private final UpstreamSelector.Selection target;
    private final GenerationRun run;
    private final boolean continuation;
    private final EventSplitter splitter;
    private final BodyBuffer errorBody;
    private final RunMeasurements measurements;
    private ResponseHead head;
    private CallFailure failure;

    /** The number of the last order to stop a run that was given before the stream ended. */
    private int lastOrderBeforeEnd;

    private RequestEvidence requestAtEnd = RequestEvidence.NOT_WRITTEN;

    /**
     * Creates the listener for the response to a request that is about to be sent.
     *
     * @param continuation whether the run continues from a copy
     */
    GenerationStream(GenerationCall call, UpstreamSelector.Selection target, GenerationRun run, boolean continuation) {
        this.call = call;
        this.components = call.components;
        this.target = target;
        this.run = run;
        this.continuation = continuation;
        this.splitter = new EventSplitter(components.bodyMemory());
        this.errorBody = new BodyBuffer(components.bodyMemory(), MAX_ERROR_BODY_BYTES);
        this.measurements = new RunMeasurements(call, target, continuation);
    }

    @Override
    public boolean beforeSend() {
        if (!call.attempts.confirmInService(target, this::handleHeldBack)) {
            return false;
        }
        components.generations().add(target.upstream().instance(), call);
        measurements.sent();
        return true;
    }

    /** Lets a move look for another target; ends the attempt of a call that has not been sent before. */
    private void handleHeldBack(CallFailure reason) {
        if (isContinuationOfMove()) {
            call.exchange = null;
            releaseMemory();
            handleRefusedContinuation(reason);
        } else {
            call.attempts.failed(target, reason);
        }
    }

    private boolean isContinuationOfMove() {
        return continuation && call.moves().isMoving();
    }

    @Override
    public void head(ResponseHead received) {
        head = received;
        components.upstreams().markReachable(target.upstream().instance());
        call.obeyStatements(target, received);
        failure = ResponseValidator.failure(call.plan, received);
        call.recordLoad(target, received);
        if (failure == null) {
            call.callerStream().setHead(received);
        }
    }

    @Override
    public void data(Buffer bytes) {
        if (failure != null) {
            if (errorBody.append(bytes) != BodyBuffer.Outcome.ADDED) {
                abandon(failure);
            }
            return;
        }
        for (EventSplitter.Event event : splitter.feed(bytes)) {
            if (!event.hasField()) {
                call.callerStream().forwardComment(event);
                continue;
            }
            if (isOfAnotherRun(event)) {
                abandon(CallFailure.of(
                                ErrorKind.OUTCOME_UNKNOWN,
                                "resumed stream: expected an event after " + call.lastEventId() + ", found "
                                        + event.id())
                        .withRan(Ran.UNKNOWN));
                return;
            }
            if (!measurements.hasBegun()) {
                handleFirstEvent();
            }
            measurements.countEvent();
            call.callerStream().forward(event);
        }
        splitter.excess()
                .ifPresent(reason -> abandon(
                        CallFailure.of(ErrorKind.OUTCOME_UNKNOWN, reason).withRan(Ran.UNKNOWN)));
    }

    /**
     * Returns whether the first event of a resumed stream is one that the caller already has: the engine then sends a
     * run from its beginning, whose other events do not continue those that were delivered.
     */
    private boolean isOfAnotherRun(EventSplitter.Event event) {
        return measurements.eventCount() == 0 && event.id() != EventSplitter.NO_ID && event.id() <= call.lastEventId();
    }

    private void handleFirstEvent() {
        measurements.begin();
        if (isContinuationOfMove()) {
            call.moves().succeeded();
        }
        call.moves().startIfLeaving(target.upstream());
    }

    /** Closes the connection because of what the engine sent. */
    private void abandon(CallFailure reason) {
        call.exchange.cancel();
        call.moves().preventRecovery();
        handleFailure(reason);
    }

    /** Releases the memory of the response; called any number of times. */
    void releaseMemory() {
        errorBody.release();
        splitter.release();
    }

    /** Fails a continuation that has not responded within the timeout. */
    void failIfNoHead() {
        if (head == null && call.isWaitingFor(target)) {
            call.exchange.cancel();
            failed(CallFailure.of(ErrorKind.OUTCOME_UNKNOWN, "the continuation did not begin")
                    .withRan(Ran.UNKNOWN));
        }
    }

    @Override
    public void ended() {
        lastOrderBeforeEnd = call.runs().lastOrder();
        requestAtEnd = call.exchange.requestEvidence();
        if (failure == null) {
            judgeEnd(ProcessEvidence.NOT_ASKED);
        } else {
            judgeErrorEnd(ProcessEvidence.NOT_ASKED);
        }
    }

    private void judgeErrorEnd(ProcessEvidence process) {
        switch (new BodyEnd(head.framing(), requestAtEnd, process).verdict()) {
            case WHOLE -> handleErrorResponse(true);
            case ASK_PROCESS -> askProcess(this::judgeErrorEnd);
            default -> handleErrorResponse(false);
        }
    }

    /** Ends the call, or lets a move go on, by all that is known of the end of this run's stream. */
    private void judgeEnd(ProcessEvidence process) {
        StreamEnd end = new StreamEnd(
                head.framing(),
                requestAtEnd,
                measurements.eventCount(),
                splitter.isInsideEvent(),
                call.runs().stopEvidence(run, lastOrderBeforeEnd),
                call.moves().isMoving(),
                process);
        call.runs().recordEnd(run, end, call.deadline.elapsedMillis());
        switch (end.verdict()) {
            case COMPLETE -> complete();
            case ASK_PROCESS -> askProcess(this::judgeEnd);
            case LEFT_TO_MOVE -> {
                call.exchange = null;
                call.moves().streamEnded(() -> judgeEnd(process));
            }
            default -> failed(AbstractCall.unprovenEnd(end.doubt()));
        }
    }

    /** Passes on the state of the engine's process, unless the call has meanwhile been taken back or sent elsewhere. */
    private void askProcess(Consumer<ProcessEvidence> onAnswer) {
        UpstreamExchange ended = call.exchange;
        call.askWhetherProcessRuns(target, process -> {
            if (call.exchange == ended && call.runs().isLatest(run)) {
                onAnswer.accept(process);
            }
        });
    }

    private void complete() {
        call.exchange = null;
        call.callerStream().end(splitter.remainder());
        measurements.complete();
        call.trace.record(
                EventCode.CALL_ANSWERED,
                call.deadline.elapsedMillis(),
                Map.of(
                        "status", head.status(),
                        "events", call.deliveredEvents(),
                        "upstream", target.upstream().instance(),
                        "run", run.number(),
                        "framing", head.framing()));
        call.finish(false);
    }

    private void handleErrorResponse(boolean whole) {
        call.exchange = null;
        components.generations().remove(target.upstream().instance(), call);
        if (isContinuationOfMove()) {
            handleRefusedContinuation(failure);
            return;
        }
        releaseMemory();
        boolean forwardable =
                whole && !call.callerStream().isHeadSent() && ResponseValidator.isForwardable(call.plan, head);
        call.attempts.failed(target, failure, forwardable ? head : null, errorBody.bytes());
    }

    @Override
    public void failed(CallFailure streamFailure) {
        if (head != null && head.notExecuted()) {
            // A refusal is one by its head, whatever becomes of its body.
            handleErrorResponse(false);
            return;
        }
        boolean continuing = isContinuationOfMove() && !measurements.hasBegun();
        boolean stopped = call.runs().stopEvidence(run) != StopEvidence.NONE;
        if (streamFailure.kind() != ErrorKind.UNAVAILABLE && !continuing && !stopped) {
            components
                    .crashDetector()
                    .connectionBroke(
                            target.upstream(),
                            new BrokenGeneration(call.callId(), measurements.eventCount(), call.traits));
        }
        handleFailure(streamFailure);
    }

    private void handleFailure(CallFailure streamFailure) {
        call.exchange = null;
        releaseMemory();
        CallFailure cause =
                streamFailure.kind() == ErrorKind.UNAVAILABLE ? streamFailure.withRan(Ran.NO) : streamFailure;
        if (isContinuationOfMove() && !measurements.hasBegun()) {
            handleFailedContinuation(cause);
        } else if (call.moves().isMoving()) {
            call.moves().streamBroken(target, cause);
        } else {
            call.handleBrokenStream(target, cause);
        }
    }

    private void handleFailedContinuation(CallFailure cause) {
        if (cause.ran() == Ran.NO) {
            handleRefusedContinuation(cause);
        } else {
            call.moves().continuationBroken(target, cause);
        }
    }

    private void handleRefusedContinuation(CallFailure refusal) {
        // A refusal says nothing about the target's health; DRAINING counts as refused.
        call.place.recordResult(target, CallResult.failed(ErrorKind.DRAINING));
        call.moves().continuationRefused(refusal);
    }
}
