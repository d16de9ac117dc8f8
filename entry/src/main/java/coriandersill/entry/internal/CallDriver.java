package coriandersill.entry.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.CallId;
import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.core.Ran;
import coriandersill.entry.CallObserver;
import coriandersill.events.EventCode;
import coriandersill.routing.AttemptFailure;
import coriandersill.routing.CallResult;
import coriandersill.routing.RetryDecision;
import coriandersill.routing.RouteRequest;
import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import io.vertx.core.Context;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Carries one call through its attempts and hands the answer to its sink.
 *
 * <p>All state is confined to one Vert.x context; the choice of a sidecar runs on the workers. A frame of another
 * attempt, from another sidecar or with another token index than the next one is dropped and counted.
 */
final class CallDriver {
    private static final int CREDIT_WINDOW_TOKENS = 256;
    private static final int CREDIT_STEP_TOKENS = 64;
    private static final long ANSWER_GRACE_MILLIS = 1_000;
    private static final long RESUME_PATIENCE_MILLIS = 4_000;

    private final EntryContext entry;
    private final SidecarDirectory directory;
    private final CallTable calls;
    private final CallPlan plan;
    private final Optional<Message.OnceOnly> onceOnly;
    private final AnswerSink sink;
    private final Context context;
    private final CompletableFuture<Ending> ending = new CompletableFuture<>();
    private final Set<InstanceId> excluded = new HashSet<>();
    private volatile Optional<Selection> selection = Optional.empty();
    private RouteRequest request;
    private long dispatchedNanos;
    private long firstTokenNanos;
    private long lastTokenNanos;
    private CallFailure lastFailure = CallFailure.of(ErrorKind.UNAVAILABLE, "no upstream of the service is in service");
    private int attempt;
    private long nextIndex;
    private int consumed;
    private boolean ended;
    private boolean waitingForResume;
    private Ran mayHaveRan = Ran.NO;

    CallDriver(
            EntryContext entry,
            SidecarDirectory directory,
            CallTable calls,
            CallPlan plan,
            Optional<Message.OnceOnly> onceOnly,
            AnswerSink sink) {
        this.entry = entry;
        this.directory = directory;
        this.calls = calls;
        this.plan = plan;
        this.onceOnly = onceOnly;
        this.sink = sink;
        this.context = entry.vertx().getOrCreateContext();
    }

    /**
     * How a call ended.
     *
     * @param tokens how many tokens were delivered
     * @param response the answer of a plain call
     * @param failure why it failed, if it did
     */
    record Ending(long tokens, Optional<Message.PlainResponse> response, Optional<CallFailure> failure) {}

    CallId id() {
        return plan.id();
    }

    /** Begins the first attempt; call once, on the call's context. The future completes with how the call ended. */
    CompletableFuture<Ending> start() {
        calls.add(this);
        entry.retries().callStarted();
        long millis = Math.max(1, remaining().toMillis());
        entry.vertx().setTimer(millis + ANSWER_GRACE_MILLIS, late -> context.runOnContext(now -> overdue()));
        next();
        return ending;
    }

    private Duration remaining() {
        return Duration.ofNanos(plan.deadlineNanos() - entry.clock().nanos());
    }

    private void next() {
        if (ended) {
            return;
        }
        attempt++;
        request = new RouteRequest(
                plan.service().name(),
                plan.route(),
                entry.versions().choose(plan.service(), plan.hash()),
                entry.settings().zone(),
                plan.hash(),
                plan.promptTokens(),
                plan.predictedTokens(),
                excluded);
        RouteRequest wanted = request;
        entry.workers()
                .submit(() -> directory.select(wanted))
                .whenComplete((found, error) -> context.runOnContext(now -> {
                    if (error != null) {
                        fail(CallFailure.from(error));
                    } else if (found.isEmpty()) {
                        fail(lastFailure);
                    } else {
                        dispatch(found.get());
                    }
                }));
    }

    private void dispatch(Selection found) {
        if (ended) {
            directory.finished(found.instance(), request, CallResult.failed(ErrorKind.CANCELLED));
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
        Optional<Message.OnceOnly> stamped = onceOnly.flatMap(
                claim -> found.stamp().map(stamp -> new Message.OnceOnly(claim.key(), claim.fencingToken(), stamp)));
        if (onceOnly.isPresent() && stamped.isEmpty()) {
            tryElsewhere(CallFailure.of(ErrorKind.UNAVAILABLE, "the sidecar has issued no stamp yet"));
            return;
        }
        found.connection()
                .send(new Message.Dispatch(
                        new Message.CallAttempt(plan.id(), attempt),
                        target,
                        remaining(),
                        plan.promptTokens(),
                        plan.maxTokens(),
                        CREDIT_WINDOW_TOKENS,
                        plan.work(),
                        stamped));
        if (!found.connection().isOpen()) {
            connectionLost(found.connection());
        }
    }

    /** Whether the present attempt is at a sidecar; may be asked from any thread. */
    boolean isAt(InstanceId instance) {
        return selection.filter(found -> found.instance().equals(instance)).isPresent();
    }

    /** Takes a message about this call, from any thread. */
    void received(WireConnection connection, Message.CallMessage message) {
        context.runOnContext(now -> {
            boolean ours = !ended
                    && message.call().attempt() == attempt
                    && selection
                            .filter(found ->
                                    found.instance().equals(connection.peer().instance()))
                            .isPresent();
            if (ours) {
                handle(message);
            } else {
                dropped(message, "not of the present attempt");
            }
        });
    }

    private void handle(Message.CallMessage message) {
        if (message instanceof Message.Tokens tokens) {
            deliver(tokens);
        } else if (message instanceof Message.Accepted) {
        } else if (message instanceof Message.Finished finished) {
            finish(finished);
        } else if (message instanceof Message.PlainResponse response) {
            sink.answered(response);
            end(Optional.of(response), Optional.empty());
        } else if (message instanceof Message.Refused refused) {
            tryElsewhere(CallFailure.of(refused.kind(), refused.text())
                    .withRan(Ran.NO)
                    .withRetryAfter(refused.retryAfter()));
        } else if (message instanceof Message.Failed failed) {
            failedAtUpstream(failed);
        }
    }

    private void deliver(Message.Tokens tokens) {
        waitingForResume = false;
        List<byte[]> payloads = tokens.payloads();
        long skip = nextIndex - tokens.firstIndex();
        if (skip < 0) {
            dropped(tokens, "a token before it is missing");
            cancelAtSidecar();
            fail(interrupted("token " + nextIndex + " did not arrive"));
            return;
        }
        if (skip > 0) {
            dropped(tokens, "delivered before");
            payloads = payloads.subList((int) Math.min(skip, payloads.size()), payloads.size());
        }
        if (payloads.isEmpty()) {
            return;
        }
        lastTokenNanos = entry.clock().nanos();
        if (nextIndex == 0) {
            firstTokenNanos = lastTokenNanos;
        }
        nextIndex += payloads.size();
        sink.tokens(payloads);
        consumed += payloads.size();
        grantCredit();
    }

    private void grantCredit() {
        if (ended || consumed < CREDIT_STEP_TOKENS) {
            return;
        }
        if (sink.ready(() -> context.runOnContext(now -> grantCredit()))) {
            int granted = consumed;
            consumed = 0;
            selection.ifPresent(found ->
                    found.connection().send(new Message.Credit(new Message.CallAttempt(plan.id(), attempt), granted)));
        }
    }

    private void finish(Message.Finished finished) {
        if (finished.tokens() != nextIndex) {
            fail(interrupted("expected " + finished.tokens() + " tokens, found " + nextIndex));
            return;
        }
        sink.finished();
        end(Optional.empty(), Optional.empty());
    }

    private void failedAtUpstream(Message.Failed failed) {
        CallFailure failure = CallFailure.of(failed.kind(), failed.text())
                .withRan(failed.ran())
                .withRetryAfter(failed.retryAfter());
        if (plan.work().generation() && nextIndex > 0) {
            fail(interrupted(failed.text()));
        } else {
            tryElsewhere(failure);
        }
    }

    private CallFailure interrupted(String text) {
        return CallFailure.of(ErrorKind.GENERATION_INTERRUPTED, text + "; " + nextIndex + " tokens were delivered");
    }

    /** Makes another attempt elsewhere if the retry policy allows it; else the failure is the answer. */
    private void tryElsewhere(CallFailure failure) {
        lastFailure = failure;
        if (failure.ran() != Ran.NO) {
            mayHaveRan = failure.ran();
        }
        selection.ifPresent(found -> excluded.add(found.instance()));
        RetryDecision decision =
                entry.retries().decide(new AttemptFailure(failure, plan.repeatable(), nextIndex, attempt, remaining()));
        if (decision instanceof RetryDecision.Retry retry) {
            entry.metrics().counter("calls.retried").inc();
            entry.events()
                    .record(
                            EventCode.CALL_RETRIED,
                            Map.of("call", plan.id(), "attempt", attempt, "kind", failure.kind()));
            leave(CallResult.failed(failure.kind()));
            long millis = Math.max(1, retry.delay().toMillis());
            entry.vertx().setTimer(millis, later -> context.runOnContext(now -> next()));
        } else {
            fail(failure);
        }
    }

    /** Hears that a connection has ended, from any thread. */
    void disconnected(WireConnection connection) {
        context.runOnContext(now -> connectionLost(connection));
    }

    private void connectionLost(WireConnection connection) {
        boolean ours = !ended
                && selection
                        .filter(found -> found.connection().equals(connection))
                        .isPresent();
        if (!ours || waitingForResume) {
            return;
        }
        if (plan.work().generation() && nextIndex > 0) {
            waitingForResume = true;
            entry.vertx().setTimer(RESUME_PATIENCE_MILLIS, late -> context.runOnContext(now -> resumeOverdue()));
        } else if (plan.repeatable()) {
            tryElsewhere(CallFailure.of(ErrorKind.UNAVAILABLE, "the connection to the sidecar was lost")
                    .withRan(Ran.UNKNOWN));
        } else {
            fail(CallFailure.of(ErrorKind.OUTCOME_UNKNOWN, "the connection was lost after the call was handed on"));
        }
    }

    /** Hears that a sidecar is connected again, from any thread. */
    void reconnected(WireConnection connection) {
        context.runOnContext(now -> {
            boolean ours = !ended
                    && waitingForResume
                    && selection
                            .filter(found ->
                                    found.instance().equals(connection.peer().instance()))
                            .isPresent();
            if (!ours) {
                return;
            }
            Selection before = selection.get();
            selection = Optional.of(new Selection(before.instance(), before.version(), connection, before.stamp()));
            consumed = 0;
            connection.send(
                    new Message.Resume(new Message.CallAttempt(plan.id(), attempt), nextIndex, CREDIT_WINDOW_TOKENS));
        });
    }

    private void resumeOverdue() {
        if (!ended && waitingForResume) {
            fail(interrupted("the connection to the sidecar was lost"));
        }
    }

    private void overdue() {
        if (ended || nextIndex > 0) {
            return;
        }
        cancelAtSidecar();
        if (plan.repeatable() || plan.work().generation() || attempt == 0) {
            fail(CallFailure.of(ErrorKind.DEADLINE_EXCEEDED, "no answer within the deadline")
                    .withRan(selection.isPresent() ? Ran.UNKNOWN : Ran.NO));
        } else {
            fail(CallFailure.of(ErrorKind.OUTCOME_UNKNOWN, "no answer within the deadline"));
        }
    }

    /** The caller has gone away; call on the call's context. */
    void cancel() {
        if (!ended) {
            cancelAtSidecar();
            end(Optional.empty(), Optional.of(CallFailure.of(ErrorKind.CANCELLED, "the caller went away")));
        }
    }

    /** Ends the call at a drain's deadline, from any thread. */
    void abort() {
        context.runOnContext(now -> {
            if (!ended) {
                cancelAtSidecar();
                fail(interrupted("the entry stops"));
            }
        });
    }

    private void cancelAtSidecar() {
        selection.ifPresent(
                found -> found.connection().send(new Message.Cancel(new Message.CallAttempt(plan.id(), attempt))));
    }

    private void fail(CallFailure last) {
        if (ended) {
            return;
        }
        CallFailure failure = last.ran() == Ran.NO ? last.withRan(mayHaveRan) : last;
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
        sink.failed(failure);
        end(Optional.empty(), Optional.of(failure));
    }

    private void leave(CallResult result) {
        selection.ifPresent(found -> {
            directory.finished(found.instance(), request, result);
            observe(found, result);
        });
        selection = Optional.empty();
    }

    private void observe(Selection found, CallResult result) {
        boolean failed = result.kind() == CallResult.Kind.FAILED;
        if (failed || result.kind() == CallResult.Kind.OK) {
            entry.observer()
                    .observed(new CallObserver.ObservedCall(
                            plan.service().name(),
                            found.version(),
                            plan.route(),
                            found.connection().peer().zone(),
                            failed,
                            failed ? -1 : result.firstTokenNanos(),
                            result.tokens() < 2 ? -1 : result.betweenTokensNanos()));
        }
    }

    private CallResult succeeded() {
        long answered = nextIndex == 0 ? entry.clock().nanos() : firstTokenNanos;
        long between = nextIndex < 2 ? 0 : (lastTokenNanos - firstTokenNanos) / (nextIndex - 1);
        return CallResult.ok(answered - dispatchedNanos, between, nextIndex);
    }

    private void end(Optional<Message.PlainResponse> response, Optional<CallFailure> failure) {
        if (!ended) {
            ended = true;
            leave(failure.map(found -> CallResult.failed(found.kind())).orElseGet(this::succeeded));
            calls.remove(this);
            ending.complete(new Ending(nextIndex, response, failure));
        }
    }

    private void dropped(Message.CallMessage message, String why) {
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
                                    why));
        }
    }
}
