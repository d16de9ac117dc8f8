package coriandersill.entry.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.CallId;
import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.core.Ran;
import coriandersill.entry.AttemptObserver;
import coriandersill.events.CallGuard;
import coriandersill.events.EventCode;
import coriandersill.quarantine.EngineIncarnation;
import coriandersill.quarantine.QuarantineDecision;
import coriandersill.responses.ResponseStatus;
import coriandersill.routing.AttemptFailure;
import coriandersill.routing.CallResult;
import coriandersill.routing.RetryDecision;
import coriandersill.routing.RouteRequest;
import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import io.vertx.core.Context;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
    /** The number of tokens that a sidecar may send before more credit is granted. */
    private static final int CREDIT_WINDOW_TOKENS = 256;

    /** The number of tokens after which an upstream has proven to serve a prompt. */
    private static final int TOKENS_OF_SUCCESS = 2;

    /** Credit is granted again once at least this many tokens have been delivered. */
    private static final int MIN_CREDIT_GRANT_TOKENS = 64;

    /** How long the entry waits after the deadline for the sidecar to report the exceeded deadline itself. */
    private static final long DEADLINE_GRACE_MILLIS = 1_000;

    /** Shorter than the 5 s for which the sidecar keeps the generation, so that a resume still finds it. */
    private static final long RESUME_TIMEOUT_MILLIS = 4_000;

    private final EntryContext entry;
    private final SidecarDirectory directory;
    private final CallTable calls;
    private final CallPlan plan;
    private final Optional<Message.OnceOnly> onceOnly;
    private final ResponseSink sink;
    private final Context context;
    private final CallGuard guard;
    private final CompletableFuture<CallOutcome> outcome = new CompletableFuture<>();
    private final Set<InstanceId> excludedInstances = new HashSet<>();
    private volatile Optional<SelectedSidecar> selection = Optional.empty();
    private RouteRequest routeRequest;
    private long dispatchedNanos;
    private long firstTokenAtNanos;
    private long lastTokenAtNanos;

    /** The failure of the last attempt; the initial value is reported if the first attempt finds no sidecar. */
    private CallFailure lastFailure = CallFailure.of(ErrorKind.UNAVAILABLE, "no upstream of the service is in service");

    private int attemptNumber;
    private long nextIndex;
    private int tokensToCredit;
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
        this.directory = directory;
        this.calls = calls;
        this.plan = plan;
        this.onceOnly = onceOnly;
        this.sink = sink;
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
        attemptNumber++;
        routeRequest = new RouteRequest(
                plan.service().name(),
                plan.route(),
                entry.versionSelector().select(plan.service(), plan.affinityHash()),
                entry.settings().zone(),
                plan.affinityHash(),
                plan.promptTokens(),
                plan.predictedTokens(),
                excludedInstances);
        RouteRequest request = routeRequest;
        entry.workers()
                .submit(() -> directory.select(request))
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
        Duration quietTime = directory.timeUntilQuietEnds(routeRequest);
        boolean tellsMore = quietTime.compareTo(lastFailure.retryAfter()) > 0;
        fail(tellsMore ? lastFailure.withRetryAfter(quietTime) : lastFailure);
    }

    /** Fails the call if a part of its prompt is quarantined; returns whether it did. */
    private boolean isRefusedByQuarantine() {
        QuarantineDecision decision = entry.quarantine().check(plan.id().toString(), plan.traits());
        if (!(decision instanceof QuarantineDecision.Refused refused)) {
            return false;
        }
        Map<String, Object> details = new LinkedHashMap<>(refused.evidence());
        details.put("call", plan.id());
        entry.events().record(EventCode.CALL_QUARANTINED, details);
        CallFailure quarantined = CallFailure.of(
                        ErrorKind.QUARANTINED,
                        "a part of the prompt was in generations at "
                                + refused.verdict().crashes()
                                + " consecutive crashes of upstreams")
                .withRetryAfter(refused.retryAfter());
        // A call that has run is not reported as one that was refused.
        fail(attemptNumber == 0 ? quarantined : lastFailure);
        return true;
    }

    private void dispatch(SelectedSidecar found) {
        if (ended) {
            directory.finished(found.instance(), routeRequest, CallResult.failed(ErrorKind.CANCELLED));
            return;
        }
        selection = Optional.of(found);
        dispatchedNanos = entry.clock().nanos();
        Message.Target target = new Message.Target(
                plan.workspace().name().value(),
                plan.workspace().weight(),
                plan.service().name().value(),
                found.version().value(),
                plan.route().value(),
                0);
        Optional<Message.OnceOnly> stampedOnceOnly = onceOnly.flatMap(claimed ->
                found.stamp().map(stamp -> new Message.OnceOnly(claimed.key(), claimed.fencingToken(), stamp)));
        if (onceOnly.isPresent() && stampedOnceOnly.isEmpty()) {
            retryOrFail(CallFailure.of(ErrorKind.UNAVAILABLE, "the sidecar has issued no stamp yet"));
            return;
        }
        found.connection()
                .send(new Message.Dispatch(
                        new Message.CallAttempt(plan.id(), attemptNumber),
                        target,
                        remaining(),
                        plan.promptTokens(),
                        plan.maxTokens(),
                        CREDIT_WINDOW_TOKENS,
                        plan.upstreamRequest(),
                        stampedOnceOnly));
        // If the connection closed before the selection was set, its end was ignored and is not reported again.
        if (!found.connection().isOpen()) {
            onConnectionLost(found.connection());
        }
    }

    /** Returns whether the current attempt is dispatched to the given sidecar; may be called from any thread. */
    boolean isDispatchedTo(InstanceId instance) {
        return selection.filter(found -> found.instance().equals(instance)).isPresent();
    }

    /** Handles a message about this call; may be called from any thread. */
    void received(WireConnection connection, Message.CallMessage message) {
        runOnContext(() -> {
            boolean isCurrent = !ended
                    && message.attempt().number() == attemptNumber
                    && selection
                            .filter(found ->
                                    found.instance().equals(connection.peer().instance()))
                            .isPresent();
            if (isCurrent) {
                onMessage(message);
            } else {
                recordDroppedMessage(message, "message is not from the current attempt or sidecar");
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
        List<byte[]> payloads = tokens.payloads();
        long skip = nextIndex - tokens.firstIndex();
        if (skip < 0) {
            recordDroppedMessage(tokens, "expected token index " + nextIndex + ", found " + tokens.firstIndex());
            cancelAtSidecar();
            fail(interrupted("token " + nextIndex + " did not arrive"));
            return;
        }
        if (skip > 0) {
            recordDroppedMessage(tokens, "tokens before index " + nextIndex + " were already delivered");
            payloads = payloads.subList((int) Math.min(skip, payloads.size()), payloads.size());
        }
        if (payloads.isEmpty()) {
            return;
        }
        lastTokenAtNanos = entry.clock().nanos();
        if (nextIndex == 0) {
            firstTokenAtNanos = lastTokenAtNanos;
        }
        boolean wasProven = nextIndex >= TOKENS_OF_SUCCESS;
        nextIndex += payloads.size();
        if (!wasProven && nextIndex >= TOKENS_OF_SUCCESS) {
            entry.workers().executeOrRun(() -> entry.quarantine().recordSuccess(plan.traits()));
        }
        sink.onTokens(payloads);
        tokensToCredit += payloads.size();
        grantCredit();
    }

    private void grantCredit() {
        if (ended || tokensToCredit < MIN_CREDIT_GRANT_TOKENS) {
            return;
        }
        if (sink.checkWritable(() -> runOnContext(this::grantCredit))) {
            int granted = tokensToCredit;
            tokensToCredit = 0;
            selection.ifPresent(found -> found.connection()
                    .send(new Message.Credit(new Message.CallAttempt(plan.id(), attemptNumber), granted)));
        }
    }

    private void onFinished(Message.Finished finished) {
        if (finished.tokens() != nextIndex) {
            fail(interrupted("expected " + finished.tokens() + " tokens, found " + nextIndex));
            return;
        }
        sink.onFinished();
        end(Optional.empty(), Optional.empty());
    }

    private void onUpstreamFailure(Message.Failed failed) {
        CallFailure failure = CallFailure.of(failed.kind(), failed.text())
                .withRan(failed.ran())
                .withRetryAfter(failed.retryAfter());
        if (failed.kind() == ErrorKind.UPSTREAM_ENDED && nextIndex < TOKENS_OF_SUCCESS) {
            selection.ifPresent(this::recordCrash);
        }
        if (plan.upstreamRequest().generation() && nextIndex > 0) {
            fail(interrupted(failed.text()));
        } else {
            retryOrFail(failure);
        }
    }

    /** Reports that the upstream ended; its starts have no identifier, so the time tells its processes apart. */
    private void recordCrash(SelectedSidecar found) {
        long seconds = Duration.ofNanos(entry.clock().nanos()).toSeconds();
        EngineIncarnation upstream = new EngineIncarnation(found.instance(), seconds);
        entry.workers().executeOrRun(() -> entry.quarantine().recordOwnCrash(upstream, List.of(plan.traits())));
    }

    private CallFailure interrupted(String text) {
        return CallFailure.of(ErrorKind.GENERATION_INTERRUPTED, text + "; " + nextIndex + " tokens were delivered");
    }

    /** Starts an attempt at another sidecar if the retry policy allows it; otherwise fails the call. */
    private void retryOrFail(CallFailure failure) {
        lastFailure = failure;
        if (failure.ran() != Ran.NO) {
            ranBefore = failure.ran();
        }
        selection.ifPresent(found -> excludedInstances.add(found.instance()));
        RetryDecision decision = entry.retryPolicy()
                .decide(new AttemptFailure(failure, plan.repeatable(), nextIndex, attemptNumber, remaining()));
        if (decision instanceof RetryDecision.Retry retry) {
            entry.metrics().counter("calls.retried").inc();
            entry.events()
                    .record(
                            EventCode.CALL_RETRIED,
                            Map.of("call", plan.id(), "attempt", attemptNumber, "kind", failure.kind()));
            finishAttempt(CallResult.failed(failure.kind()));
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
        boolean isCurrent = !ended
                && selection
                        .filter(found -> found.connection().equals(connection))
                        .isPresent();
        if (!isCurrent || waitingForResume) {
            return;
        }
        if (plan.upstreamRequest().generation() && nextIndex > 0) {
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
                    && selection
                            .filter(found ->
                                    found.instance().equals(connection.peer().instance()))
                            .isPresent();
            if (!shouldResume) {
                return;
            }
            SelectedSidecar previous = selection.get();
            selection = Optional.of(
                    new SelectedSidecar(previous.instance(), previous.version(), connection, previous.stamp()));
            // The resume grants a complete window from the next index on.
            tokensToCredit = 0;
            connection.send(new Message.Resume(
                    new Message.CallAttempt(plan.id(), attemptNumber), nextIndex, CREDIT_WINDOW_TOKENS));
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
        if (ended || nextIndex > 0) {
            return;
        }
        cancelAtSidecar();
        if (plan.repeatable() || plan.upstreamRequest().generation() || attemptNumber == 0) {
            fail(CallFailure.of(ErrorKind.DEADLINE_EXCEEDED, "no answer within the deadline")
                    .withRan(selection.isPresent() ? Ran.UNKNOWN : Ran.NO));
        } else {
            fail(CallFailure.of(ErrorKind.OUTCOME_UNKNOWN, "no answer within the deadline"));
        }
    }

    /** Cancels the call after its caller has disconnected; to be called on the call's context. */
    void cancel() {
        guard.run(() -> {
            if (!ended) {
                cancelAtSidecar();
                end(Optional.empty(), Optional.of(CallFailure.of(ErrorKind.CANCELLED, "the caller disconnected")));
            }
        });
    }

    /** Fails the call at the drain deadline; may be called from any thread. */
    void abort() {
        runOnContext(() -> {
            if (!ended) {
                cancelAtSidecar();
                fail(interrupted("the entry stops").withRan(ranSoFar()));
            }
        });
    }

    private Ran ranSoFar() {
        if (nextIndex > 0) {
            return Ran.YES;
        }
        return selection.isPresent() ? Ran.UNKNOWN : Ran.NO;
    }

    /** Fails the call because one of its steps threw an error. */
    private void failAfterError(CallFailure failure) {
        if (!ended) {
            cancelAtSidecar();
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

    private void cancelAtSidecar() {
        selection.ifPresent(found ->
                found.connection().send(new Message.Cancel(new Message.CallAttempt(plan.id(), attemptNumber))));
    }

    private void fail(CallFailure cause) {
        if (ended) {
            return;
        }
        CallFailure failure = cause.ran() == Ran.NO ? cause.withRan(ranBefore) : cause;
        entry.metrics().counter("calls.failed." + failure.kind()).inc();
        entry.events()
                .record(
                        failure.kind() == ErrorKind.OUTCOME_UNKNOWN ? EventCode.OUTCOME_UNKNOWN : EventCode.CALL_FAILED,
                        Map.of(
                                "call",
                                plan.id(),
                                "kind",
                                failure.kind(),
                                "ran",
                                failure.ran(),
                                "why",
                                failure.getMessage()));
        sink.onFailure(failure);
        end(Optional.empty(), Optional.of(failure));
    }

    private void finishAttempt(CallResult result) {
        Optional<SelectedSidecar> attempt = selection;
        selection = Optional.empty();
        attempt.ifPresent(found -> {
            directory.finished(found.instance(), routeRequest, result);
            reportAttempt(found, result);
        });
    }

    private void reportAttempt(SelectedSidecar found, CallResult result) {
        boolean failed = result.kind() == CallResult.Kind.FAILED;
        if (failed || result.kind() == CallResult.Kind.OK) {
            entry.observer()
                    .onAttempt(new AttemptObserver.ObservedAttempt(
                            plan.service().name(),
                            found.version(),
                            plan.route(),
                            found.connection().peer().zone(),
                            failed,
                            failed ? -1 : result.firstTokenNanos(),
                            result.tokens() < 2 ? -1 : result.betweenTokensNanos()));
        }
    }

    private CallResult successResult() {
        long firstResponseAtNanos = nextIndex == 0 ? entry.clock().nanos() : firstTokenAtNanos;
        long betweenTokensNanos = nextIndex < 2 ? 0 : (lastTokenAtNanos - firstTokenAtNanos) / (nextIndex - 1);
        return CallResult.ok(firstResponseAtNanos - dispatchedNanos, betweenTokensNanos, nextIndex);
    }

    private void end(Optional<Message.PlainResponse> response, Optional<CallFailure> failure) {
        if (!ended) {
            ended = true;
            try {
                finishAttempt(
                        failure.map(found -> CallResult.failed(found.kind())).orElseGet(this::successResult));
            } finally {
                calls.remove(this);
                outcome.complete(new CallOutcome(nextIndex, response, failure));
            }
        }
    }

    private void recordDroppedMessage(Message.CallMessage message, String reason) {
        if (!(message instanceof Message.Accepted)) {
            entry.metrics().counter("frames.dropped").inc();
            entry.events()
                    .record(
                            EventCode.FRAME_DROPPED,
                            Map.of(
                                    "call",
                                    plan.id(),
                                    "frame",
                                    message.getClass().getSimpleName(),
                                    "why",
                                    reason));
        }
    }
}
