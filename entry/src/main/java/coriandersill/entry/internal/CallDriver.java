package coriandersill.entry.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.CallId;
import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.core.Ran;
import coriandersill.events.CallGuard;
import coriandersill.responses.ResponseStatus;
import coriandersill.routing.AttemptFailure;
import coriandersill.routing.CallResult;
import coriandersill.routing.RetryDecision;
import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import io.vertx.core.Context;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Drives one call through its attempts and passes the response to its sink.
 *
 * <p>All state is confined to one Vert.x context; sidecar selection runs on the workers. Each step runs in a guard,
 * which fails the call if the step throws an error. A message of another attempt or from another sidecar is dropped and
 * counted, as are tokens that were already delivered. A gap in the token indices fails the call.
 */
final class CallDriver {
    /** The number of tokens after which an upstream has proven to serve a prompt. */
    private static final int TOKENS_OF_SUCCESS = 2;

    /** How long the entry waits after the deadline for the sidecar to report the exceeded deadline itself. */
    private static final long DEADLINE_GRACE_MILLIS = 1_000;

    /** Shorter than the 5 s for which the sidecar keeps the generation, so that a resume still finds it. */
    private static final long RESUME_TIMEOUT_MILLIS = 4_000;

    private final EntryContext entry;
    private final CallTable calls;
    private final CallPlan plan;
    private final ResponseSink sink;
    private final SidecarAttempt attempt;
    private final DeliveredTokens delivered = new DeliveredTokens();
    private final CallRecorder recorder;
    private final PromptCheck promptCheck;
    private final Context context;
    private final CallGuard guard;
    private final CompletableFuture<CallOutcome> outcome = new CompletableFuture<>();
    private final Set<InstanceId> excludedInstances = new HashSet<>();

    /** The failure of the last attempt; the initial value is reported if the first attempt finds no sidecar. */
    private CallFailure lastFailure = CallFailure.of(ErrorKind.UNAVAILABLE, "no upstream of the service is in service");

    private boolean ended;
    private boolean waitingForResume;

    /**
     * Whether an earlier attempt ran the call: {@code NO} until an attempt fails with another value, then the value of
     * the latest such failure.
     */
    private Ran ranBefore = Ran.NO;

    CallDriver(
            EntryContext entry,
            SidecarDirectory directory,
            CallTable calls,
            CallPlan plan,
            Optional<Message.OnceOnly> onceOnly,
            ResponseSink sink) {
        this.entry = entry;
        this.calls = calls;
        this.plan = plan;
        this.sink = sink;
        this.attempt = new SidecarAttempt(entry, directory, plan, onceOnly);
        this.recorder = new CallRecorder(entry, plan.id());
        this.promptCheck = new PromptCheck(entry, plan, recorder);
        this.context = entry.vertx().getOrCreateContext();
        this.guard = new CallGuard(entry.events(), plan.id().toString(), this::failAfterError, this::abandon);
    }

    /**
     * How a call ended.
     *
     * @param tokens the number of tokens delivered
     * @param response the response to a plain call, if it succeeded
     * @param failure the failure, if the call failed
     */
    record CallOutcome(long tokens, Optional<Message.PlainResponse> response, Optional<CallFailure> failure) {}

    CallId id() {
        return plan.id();
    }

    /** Starts the first attempt; to be called once, on the call's context. The future completes with the outcome. */
    CompletableFuture<CallOutcome> start() {
        guard.run(() -> {
            calls.add(this);
            entry.retryPolicy().callStarted();
            runLater(Math.max(1, remaining().toMillis()) + DEADLINE_GRACE_MILLIS, this::onDeadline);
            startAttempt();
        });
        return outcome;
    }

    /** Runs a step on the call's context; may be called from any thread. */
    private void runOnContext(Runnable step) {
        context.runOnContext(ignored -> guard.run(step));
    }

    private void runLater(long delayMillis, Runnable step) {
        entry.vertx().setTimer(delayMillis, fired -> runOnContext(step));
    }

    private Duration remaining() {
        return Duration.ofNanos(plan.deadlineNanos() - entry.clock().nanos());
    }

    private void startAttempt() {
        if (ended || isRefusedByQuarantine()) {
            return;
        }
        attempt.begin(excludedInstances)
                .whenComplete((found, error) -> runOnContext(() -> {
                    if (error != null) {
                        fail(CallFailure.from(error));
                    } else if (found.isEmpty()) {
                        failWithoutSidecar();
                    } else {
                        dispatch(found.get());
                    }
                }));
    }

    /** Fails the call because no sidecar can take it; if upstreams asked for no requests, it tells until when. */
    private void failWithoutSidecar() {
        Duration quietTime = attempt.timeUntilQuietEnds();
        boolean tellsMore = quietTime.compareTo(lastFailure.retryAfter()) > 0;
        fail(tellsMore ? lastFailure.withRetryAfter(quietTime) : lastFailure);
    }

    /** Fails the call if a part of its prompt is quarantined; returns whether it did. */
    private boolean isRefusedByQuarantine() {
        Optional<CallFailure> refusal = promptCheck.refusal();
        // A call that has run is not reported as one that was refused.
        refusal.ifPresent(quarantined -> fail(attempt.number() == 0 ? quarantined : lastFailure));
        return refusal.isPresent();
    }

    private void dispatch(SelectedSidecar found) {
        if (ended) {
            attempt.release(found);
            return;
        }
        attempt.assignTo(found);
        if (!attempt.dispatch(remaining())) {
            retryOrFail(CallFailure.of(ErrorKind.UNAVAILABLE, "the sidecar has issued no stamp yet"));
            return;
        }
        // If the connection closed before the sidecar was assigned, its end was ignored and is not reported again.
        if (!found.connection().isOpen()) {
            onConnectionLost(found.connection());
        }
    }

    /** Returns whether the current attempt is dispatched to the given sidecar; may be called from any thread. */
    boolean isDispatchedTo(InstanceId instance) {
        return attempt.isDispatchedTo(instance);
    }

    /** Handles a message about this call; may be called from any thread. */
    void received(WireConnection connection, Message.CallMessage message) {
        runOnContext(() -> {
            boolean isCurrent = !ended
                    && message.attempt().number() == attempt.number()
                    && attempt.isDispatchedTo(connection.peer().instance());
            if (isCurrent) {
                onMessage(message);
            } else {
                recorder.recordDropped(message, "message is not from the current attempt or sidecar");
            }
        });
    }

    private void onMessage(Message.CallMessage message) {
        if (message instanceof Message.Tokens tokens) {
            onTokens(tokens);
        } else if (message instanceof Message.Accepted) {
            // Reports only that the call was sent to the upstream; no decision depends on it.
        } else if (message instanceof Message.Finished finished) {
            onFinished(finished);
        } else if (message instanceof Message.PlainResponse response) {
            onResponse(response);
        } else if (message instanceof Message.Refused refused) {
            retryOrFail(CallFailure.of(refused.kind(), refused.text())
                    .withRan(Ran.NO)
                    .withRetryAfter(refused.retryAfter()));
        } else if (message instanceof Message.Failed failed) {
            onUpstreamFailure(failed);
        }
    }

    /** Passes on a response of the upstream; a sidecar of an earlier version also sends one that is no answer. */
    private void onResponse(Message.PlainResponse response) {
        if (!ResponseStatus.isAnswer(response.status())) {
            retryOrFail(CallFailure.of(ErrorKind.OUTCOME_UNKNOWN, ResponseStatus.describeNoAnswer(response.status()))
                    .withRan(Ran.UNKNOWN));
            return;
        }
        sink.onResponse(response);
        end(Optional.of(response), Optional.empty());
    }

    private void onTokens(Message.Tokens tokens) {
        waitingForResume = false;
        long expected = delivered.count();
        if (tokens.firstIndex() > expected) {
            recorder.recordDropped(tokens, "expected token index " + expected + ", found " + tokens.firstIndex());
            attempt.cancel();
            fail(interrupted("token " + expected + " did not arrive"));
            return;
        }
        if (tokens.firstIndex() < expected) {
            recorder.recordDropped(tokens, "tokens before index " + expected + " were already delivered");
        }
        List<byte[]> payloads = delivered.newOnes(tokens);
        if (!payloads.isEmpty()) {
            deliver(payloads);
        }
    }

    private void deliver(List<byte[]> payloads) {
        boolean wasProven = delivered.count() >= TOKENS_OF_SUCCESS;
        delivered.add(payloads.size(), entry.clock().nanos());
        if (!wasProven && delivered.count() >= TOKENS_OF_SUCCESS) {
            promptCheck.recordSuccess();
        }
        sink.onTokens(payloads);
        grantCredit();
    }

    private void grantCredit() {
        boolean due = !ended && delivered.isCreditDue();
        if (due && sink.checkWritable(() -> runOnContext(this::grantCredit))) {
            attempt.grantCredit(delivered.takeCredit());
        }
    }

    private void onFinished(Message.Finished finished) {
        if (finished.tokens() != delivered.count()) {
            fail(interrupted("expected " + finished.tokens() + " tokens, found " + delivered.count()));
            return;
        }
        sink.onFinished();
        end(Optional.empty(), Optional.empty());
    }

    private void onUpstreamFailure(Message.Failed failed) {
        CallFailure failure = CallFailure.of(failed.kind(), failed.text())
                .withRan(failed.ran())
                .withRetryAfter(failed.retryAfter());
        if (failed.kind() == ErrorKind.UPSTREAM_ENDED && delivered.count() < TOKENS_OF_SUCCESS) {
            attempt.sidecar().ifPresent(found -> promptCheck.recordCrash(found.instance()));
        }
        if (plan.upstreamRequest().generation() && delivered.isAny()) {
            fail(interrupted(failed.text()));
        } else {
            retryOrFail(failure);
        }
    }

    private CallFailure interrupted(String text) {
        return CallFailure.of(
                ErrorKind.GENERATION_INTERRUPTED, text + "; " + delivered.count() + " tokens were delivered");
    }

    /** Starts an attempt at another sidecar if the retry policy allows it; otherwise fails the call. */
    private void retryOrFail(CallFailure failure) {
        lastFailure = failure;
        if (failure.ran() != Ran.NO) {
            ranBefore = failure.ran();
        }
        attempt.sidecar().ifPresent(found -> excludedInstances.add(found.instance()));
        RetryDecision decision = entry.retryPolicy()
                .decide(new AttemptFailure(
                        failure, plan.repeatable(), delivered.count(), attempt.number(), remaining()));
        if (decision instanceof RetryDecision.Retry retry) {
            recorder.recordRetry(attempt.number(), failure);
            attempt.finish(CallResult.failed(failure.kind()));
            runLater(Math.max(1, retry.delay().toMillis()), this::startAttempt);
        } else {
            fail(failure);
        }
    }

    /** Handles the end of a connection; may be called from any thread. */
    void disconnected(WireConnection connection) {
        runOnContext(() -> onConnectionLost(connection));
    }

    private void onConnectionLost(WireConnection connection) {
        boolean isCurrent = !ended && attempt.uses(connection);
        if (!isCurrent || waitingForResume) {
            return;
        }
        if (plan.upstreamRequest().generation() && delivered.isAny()) {
            waitingForResume = true;
            runLater(RESUME_TIMEOUT_MILLIS, this::onResumeTimeout);
        } else if (plan.repeatable()) {
            retryOrFail(CallFailure.of(ErrorKind.UNAVAILABLE, "the connection to the sidecar was lost")
                    .withRan(Ran.UNKNOWN));
        } else {
            fail(CallFailure.of(ErrorKind.OUTCOME_UNKNOWN, "the connection was lost after the call was handed on"));
        }
    }

    /** Resumes the call if its sidecar has reconnected; may be called from any thread. */
    void reconnected(WireConnection connection) {
        runOnContext(() -> {
            boolean shouldResume = !ended
                    && waitingForResume
                    && attempt.isDispatchedTo(connection.peer().instance());
            if (shouldResume) {
                delivered.resetCredit();
                attempt.resume(connection, delivered.count());
            }
        });
    }

    private void onResumeTimeout() {
        if (!ended && waitingForResume) {
            fail(interrupted("the connection to the sidecar was lost"));
        }
    }

    /**
     * Fails the call if neither its first token nor its response has arrived; the deadline does not apply to later
     * tokens.
     */
    private void onDeadline() {
        if (ended || delivered.isAny()) {
            return;
        }
        attempt.cancel();
        if (plan.repeatable() || plan.upstreamRequest().generation() || attempt.number() == 0) {
            fail(CallFailure.of(ErrorKind.DEADLINE_EXCEEDED, "no answer within the deadline")
                    .withRan(attempt.sidecar().isPresent() ? Ran.UNKNOWN : Ran.NO));
        } else {
            fail(CallFailure.of(ErrorKind.OUTCOME_UNKNOWN, "no answer within the deadline"));
        }
    }

    /** Cancels the call after its caller has disconnected; to be called on the call's context. */
    void cancel() {
        guard.run(() -> {
            if (!ended) {
                attempt.cancel();
                end(Optional.empty(), Optional.of(CallFailure.of(ErrorKind.CANCELLED, "the caller disconnected")));
            }
        });
    }

    /** Fails the call at the drain deadline; may be called from any thread. */
    void abort() {
        runOnContext(() -> {
            if (!ended) {
                attempt.cancel();
                fail(interrupted("the entry stops").withRan(ranSoFar()));
            }
        });
    }

    private Ran ranSoFar() {
        if (delivered.isAny()) {
            return Ran.YES;
        }
        return attempt.sidecar().isPresent() ? Ran.UNKNOWN : Ran.NO;
    }

    /** Fails the call because one of its steps threw an error. */
    private void failAfterError(CallFailure failure) {
        if (!ended) {
            attempt.cancel();
            fail(failure.withRan(ranSoFar()));
        }
    }

    /** Closes the caller's connection and ends the call, which can't be answered. */
    private void abandon() {
        try {
            sink.abort();
        } finally {
            end(Optional.empty(), Optional.of(CallFailure.of(ErrorKind.INTERNAL, "the call could not be answered")));
        }
    }

    private void fail(CallFailure cause) {
        if (ended) {
            return;
        }
        CallFailure failure = cause.ran() == Ran.NO ? cause.withRan(ranBefore) : cause;
        recorder.recordFailure(failure);
        sink.onFailure(failure);
        end(Optional.empty(), Optional.of(failure));
    }

    private void end(Optional<Message.PlainResponse> response, Optional<CallFailure> failure) {
        if (!ended) {
            ended = true;
            try {
                attempt.finish(
                        failure.map(found -> CallResult.failed(found.kind())).orElseGet(this::successResult));
            } finally {
                calls.remove(this);
                outcome.complete(new CallOutcome(delivered.count(), response, failure));
            }
        }
    }

    private CallResult successResult() {
        return delivered.successResult(attempt.dispatchedNanos(), entry.clock().nanos());
    }
}
