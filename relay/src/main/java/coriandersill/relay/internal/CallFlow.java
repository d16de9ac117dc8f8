package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.core.Ran;
import coriandersill.events.EventCode;
import coriandersill.relay.AnswerHead;
import coriandersill.relay.RunCopy;
import coriandersill.relay.UpstreamCall;
import coriandersill.routing.AttemptFailure;
import coriandersill.routing.CallResult;
import coriandersill.routing.RetryDecision;
import coriandersill.routing.RetryPolicy;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Carries one call through its attempts: waits for an upstream, sends, repeats where that is safe, and ends in time.
 *
 * <p>Confined to the Vert.x context of the caller's connection; decisions over shared tables run on the workers.
 */
abstract class CallFlow {
    /** The part of the target time for which a call waits until an upstream takes it. */
    private static final int WAIT_PART = 8;

    /** How often a waiting call looks for an upstream, in milliseconds. */
    private static final long WAIT_STEP_MILLIS = 25;

    /** The most upstreams that a call is sent to, those that refuse included. */
    private static final int MOST_SENDS = 4;

    /** The most upstreams that cannot be reached before a call is given up. */
    private static final int MOST_UNREACHED = 5;

    /** How long before the end of its time a call is given up, so that the answer is there in time. */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(10);

    final RelayParts parts;
    final CallPlan plan;
    final Buffer body;
    final Caller caller;
    final CallTrace trace;
    private final Context context;
    private final long arrived;
    private final RetryPolicy repeats;
    private final Set<InstanceId> excluded = new HashSet<>();
    private long deadlineTimer;
    private Ran ranBefore = Ran.NO;
    private int sends;
    private int mayHaveRun;
    private int unreached;
    private boolean over;
    UpstreamExchange exchange;
    UpstreamChoice.Chosen chosen;

    CallFlow(RelayParts parts, CallPlan plan, Buffer body, Caller caller, CallTrace trace, long arrived) {
        this.parts = parts;
        this.plan = plan;
        this.body = body;
        this.caller = caller;
        this.trace = trace;
        this.context = parts.vertx().getOrCreateContext();
        this.arrived = arrived;
        this.repeats = parts.repeats().of(plan);
    }

    /** Starts the call. */
    final void start() {
        repeats.callStarted();
        caller.onLeaving(this::callerLeft);
        long millis = Math.max(1, timeLeft().minus(ANSWER_MARGIN).toMillis());
        deadlineTimer = parts.vertx().setTimer(millis, timer -> timeIsUp());
        find();
    }

    /** Returns what hears of the exchange with {@code target}. */
    abstract UpstreamExchange.Listener listener(UpstreamChoice.Chosen target);

    /** The last event that the caller has; 0 for none. */
    abstract long lastEventId();

    /** Lets go of what the call holds beside its exchange. */
    abstract void release();

    /** Whether the call has ended. */
    final boolean over() {
        return over;
    }

    /** Milliseconds since the call arrived. */
    final long elapsedMillis() {
        return Duration.ofNanos(elapsedNanos()).toMillis();
    }

    /** Nanoseconds since the call arrived. */
    final long elapsedNanos() {
        return parts.clock().nanos() - arrived;
    }

    /** How long the call may still take. */
    final Duration timeLeft() {
        Duration left = plan.timeAllowed().minusNanos(elapsedNanos());
        return left.isNegative() ? Duration.ZERO : left;
    }

    /** Looks for an upstream and sends the call there, or waits for one. */
    final void find() {
        if (plan.service().engine().isEmpty()) {
            choose(Set.of());
            return;
        }
        onWorker(
                () -> parts.choice().sample(plan, Set.copyOf(excluded)),
                sample -> parts.loads().refresh(sample).thenAccept(answered -> onContext(() -> choose(answered))));
    }

    private void choose(Set<InstanceId> preferred) {
        onWorker(() -> parts.choice().choose(plan, Set.copyOf(excluded), preferred), found -> {
            if (found.isPresent()) {
                send(found.get());
            } else if (elapsedNanos() < plan.route().target().toNanos() / WAIT_PART && sends == 0) {
                excluded.clear();
                parts.vertx().setTimer(WAIT_STEP_MILLIS, timer -> {
                    if (!over) {
                        find();
                    }
                });
            } else {
                giveUp(CallFailure.of(
                                ErrorKind.UNAVAILABLE,
                                "no upstream of " + plan.service().name() + " takes it")
                        .withRan(ranBefore));
            }
        });
    }

    /** Runs a decision on a worker and its consequence on the call's context, unless the call has ended by then. */
    final <T> void onWorker(Supplier<T> decision, Consumer<T> consequence) {
        parts.workers()
                .submit(decision)
                .whenComplete((value, error) -> context.runOnContext(ignored -> {
                    if (over) {
                        return;
                    }
                    if (error != null) {
                        giveUp(CallFailure.from(error));
                    } else {
                        consequence.accept(value);
                    }
                }));
    }

    /** Runs {@code task} on the call's context unless the call has ended by then. */
    final void onContext(Runnable task) {
        context.runOnContext(ignored -> {
            if (!over) {
                task.run();
            }
        });
    }

    private void send(UpstreamChoice.Chosen target) {
        if (over) {
            parts.choice().finished(target, CallResult.failed(ErrorKind.CANCELLED));
            return;
        }
        chosen = target;
        sends++;
        UpstreamCall call = call(target, lastEventId(), Optional.empty());
        exchange = UpstreamExchange.start(parts.client(), parts.codec(), call, body, listener(target));
    }

    /** Returns what is sent to {@code target} now. */
    final UpstreamCall call(UpstreamChoice.Chosen target, long lastEvent, Optional<RunCopy> copy) {
        return new UpstreamCall(plan.request(), target.upstream(), plan.workspace(), timeLeft(), lastEvent, copy);
    }

    /** Whether the chosen upstream still takes new work; checked right before the request is written. */
    final boolean mayBeSent(UpstreamChoice.Chosen target) {
        boolean inService =
                parts.upstreams().inService(target.upstream().instance()).isPresent();
        trace.note(
                inService ? EventCode.CALL_SENT : EventCode.CALL_HELD_BACK,
                elapsedMillis(),
                Map.of(
                        "upstream", target.upstream().instance(),
                        "zone", target.upstream().zone(),
                        "attempt", sends,
                        "last_event", lastEventId(),
                        "time_left_ms", timeLeft().toMillis()));
        if (!inService && !over) {
            attemptFailed(target, CallFailure.of(ErrorKind.DRAINING, "upstream left before the request was written"));
        }
        return inService;
    }

    /** Ends an attempt that failed, and repeats the call elsewhere where that is safe and allowed. */
    final void attemptFailed(UpstreamChoice.Chosen target, CallFailure failure) {
        attemptFailed(target, failure, null, null);
    }

    /**
     * Ends an attempt that failed; if the call is not repeated, the upstream's own answer goes to the caller.
     *
     * @param head the upstream's answer, or null where there is none to pass on
     * @param answer its body
     */
    final void attemptFailed(UpstreamChoice.Chosen target, CallFailure failure, AnswerHead head, Buffer answer) {
        if (over) {
            return;
        }
        finishAttempt(target, CallResult.failed(failure.ran() == Ran.NO ? ErrorKind.DRAINING : failure.kind()));
        exchange = null;
        excluded.add(target.upstream().instance());
        if (failure.kind() == ErrorKind.UNAVAILABLE && failure.ran() == Ran.NO) {
            unreachable(target, failure);
            return;
        }
        if (failure.ran() != Ran.NO) {
            mayHaveRun++;
        }
        AttemptFailure attempt = new AttemptFailure(
                failure, plan.route().repeatable(), deliveredAndLost(), mayHaveRun, timeLeft(), ranBefore);
        ranBefore = attempt.ranInAnyAttempt();
        RetryDecision decision = sends >= MOST_SENDS
                ? new RetryDecision.GiveUp("sent to " + sends + " upstreams", failure.withRan(ranBefore))
                : repeats.decide(attempt);
        Map<String, Object> inputs = new LinkedHashMap<>();
        inputs.put("upstream", target.upstream().instance());
        inputs.put("failure", failure.kind());
        inputs.put("ran", failure.ran());
        inputs.put("detail", failure.getMessage());
        if (decision instanceof RetryDecision.GiveUp givenUp) {
            inputs.put("outcome", "given up: " + givenUp.reason());
            trace.note(EventCode.CALL_ATTEMPT_FAILED, elapsedMillis(), inputs);
            if (head == null) {
                giveUp(givenUp.answer());
            } else {
                deliver(head, answer);
            }
            return;
        }
        inputs.put("outcome", "repeated");
        trace.note(EventCode.CALL_ATTEMPT_FAILED, elapsedMillis(), inputs);
        parts.meters().count("relay.repeated");
        find();
    }

    /** Looks for another upstream after one that nothing was written to. */
    private void unreachable(UpstreamChoice.Chosen target, CallFailure failure) {
        parts.upstreams().unreachable(target.upstream().instance());
        sends--;
        unreached++;
        trace.note(
                EventCode.CALL_ATTEMPT_FAILED,
                elapsedMillis(),
                Map.of(
                        "upstream", target.upstream().instance(),
                        "failure", failure.kind(),
                        "ran", failure.ran(),
                        "detail", String.valueOf(failure.getMessage()),
                        "outcome", unreached < MOST_UNREACHED ? "another is looked for" : "given up"));
        if (unreached < MOST_UNREACHED) {
            find();
        } else {
            giveUp(failure.withRan(ranBefore));
        }
    }

    /** What the caller has of an answer that no other run can go on with, in events; 0 for none. */
    abstract long deliveredAndLost();

    /** Sends an upstream's whole answer to the caller and ends the call. */
    final void deliver(AnswerHead head, Buffer answer) {
        if (!over) {
            caller.answer(head, answer);
            trace.note(EventCode.CALL_ANSWERED, elapsedMillis(), Map.of("status", head.status()));
            finish(!head.successful());
        }
    }

    /** Notes the end of an attempt in the books. */
    final void finishAttempt(UpstreamChoice.Chosen target, CallResult result) {
        parts.workers().executeOrRun(() -> parts.choice().finished(target, result));
    }

    /** Ends the call with a failure. */
    final void giveUp(CallFailure failure) {
        if (over) {
            return;
        }
        parts.meters().failed(failure.kind());
        trace.note(
                EventCode.CALL_FAILED,
                elapsedMillis(),
                Map.of(
                        "failure", failure.kind(),
                        "ran", failure.ran(),
                        "detail", String.valueOf(failure.getMessage()),
                        "catalog", plan.catalogVersion()));
        caller.fail(failure, timeLeft());
        finish(true);
    }

    /** Ends the call after its answer. */
    final void finish(boolean failed) {
        over = true;
        parts.vertx().cancelTimer(deadlineTimer);
        release();
        trace.end(failed);
    }

    /** Breaks off what runs at the upstream for this call. */
    final void cancelExchange(ErrorKind kind) {
        if (exchange != null) {
            exchange.cancel();
            exchange = null;
            finishAttempt(chosen, CallResult.failed(kind));
        }
    }

    private void callerLeft() {
        if (!over) {
            trace.note(EventCode.CALLER_LEFT, elapsedMillis(), Map.of("last_event", lastEventId()));
            cancelExchange(ErrorKind.CANCELLED);
            finish(false);
        }
    }

    private void timeIsUp() {
        if (over) {
            return;
        }
        boolean unsent = exchange == null && ranBefore == Ran.NO;
        cancelExchange(ErrorKind.DEADLINE_EXCEEDED);
        giveUp(CallFailure.of(
                        ErrorKind.DEADLINE_EXCEEDED,
                        "not answered within " + plan.timeAllowed().toMillis() + " ms")
                .withRan(unsent ? Ran.NO : Ran.UNKNOWN));
    }
}
