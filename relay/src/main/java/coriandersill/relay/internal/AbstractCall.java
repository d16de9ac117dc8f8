package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import coriandersill.events.CallGuard;
import coriandersill.events.EventCode;
import coriandersill.quarantine.CallTraits;
import coriandersill.relay.KvCacheCopy;
import coriandersill.relay.ResponseHead;
import coriandersill.relay.UpstreamCall;
import coriandersill.responses.ProcessEvidence;
import coriandersill.routing.CallResult;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;

/**
 * One call: sends the request to the upstreams that {@link UpstreamSearch} finds as {@link CallAttempts} decides, until
 * its caller has an answer, has left, or the deadline is over.
 *
 * <p>Confined to the Vert.x context of the caller's connection; decisions over shared tables run on the worker pool.
 */
abstract class AbstractCall implements WaitingCall {
    /** The memory of a waiting call beside its body: its headers, its plan and its connection. */
    private static final long CALL_MEMORY_BYTES = 8L << 10;

    /** The Retry-After of calls refused because the entry stops; short because another entry can take them at once. */
    static final Duration RETRY_AFTER_STOP = Duration.ofMillis(10);

    final RelayComponents components;
    final CallPlan plan;
    final Buffer body;
    final CallerConnection caller;
    final CallTrace trace;
    final CallSteps steps;
    final CallDeadline deadline;
    final CallTraits traits;
    final AttemptSamples samples;
    private final QuarantineCheck quarantineCheck;
    final CallAttempts attempts;
    final UpstreamPlace place;
    private final UpstreamSearch search;
    private final CallerAnswer answer;

    /** When the call was last assigned to an upstream; its connection may take long to open. */
    private long selectedAtNanos;

    UpstreamExchange exchange;
    UpstreamSelector.Selection selection;

    AbstractCall(
            RelayComponents components,
            CallPlan plan,
            Buffer body,
            CallerConnection caller,
            CallTrace trace,
            long arrivedAtNanos) {
        this.components = components;
        this.plan = plan;
        this.body = body;
        this.caller = caller;
        this.trace = trace;
        this.steps = new CallSteps(
                components.vertx(),
                components.workers(),
                new CallGuard(components.events(), plan.request().id(), this::failAfterError, this::abandon),
                this::fail);
        this.deadline = new CallDeadline(components.clock(), arrivedAtNanos, plan.timeLimit());
        this.traits = plan.traits();
        this.samples = new AttemptSamples(
                components.rollouts(), components.upstreams(), plan.route().name());
        this.quarantineCheck = new QuarantineCheck(
                components.quarantine(),
                components.metrics(),
                trace,
                plan.request().id(),
                traits);
        this.place = new UpstreamPlace(components);
        this.answer = new CallerAnswer(components, plan, caller, trace, deadline);
        this.attempts = new CallAttempts(this);
        this.search = new UpstreamSearch(this);
    }

    /** Starts the call. */
    final void start() {
        steps.run(() -> {
            components.openCalls().add(this);
            attempts.callStarted();
            caller.onDisconnect(() -> steps.run(this::callerDisconnected));
            deadline.start(steps, this::deadlineExpired);
            components.dispatchQueue().add(this);
        });
    }

    /** Returns whether an engine has begun to generate, so that the call itself does not crash engines. */
    abstract boolean hasBegun();

    /** Returns whether an engine may still run the call although no response to it is read, as while it is moved. */
    abstract boolean mayRunWithoutExchange();

    /** Returns a listener for the exchange with {@code target}. */
    abstract UpstreamExchange.Listener createListener(UpstreamSelector.Selection target);

    /**
     * Returns the id of the last event that the caller has, or {@link coriandersill.relay.CallRequest#NO_EVENT} if it
     * has none.
     */
    abstract long lastEventId();

    /** Returns the number of events that were sent to the caller. */
    abstract long deliveredEvents();

    /** Returns the time from the call's arrival to its first event, or until now if it has none. */
    Duration timeToFirstEvent() {
        return Duration.ofNanos(elapsedNanos());
    }

    /** Releases what the call holds in addition to its exchange. */
    abstract void releaseResources();

    @Override
    public final CallPlan plan() {
        return plan;
    }

    @Override
    public final long memoryBytes() {
        return CALL_MEMORY_BYTES + body.length();
    }

    @Override
    public final void dispatch() {
        steps.runOnContext(this::findUpstream);
    }

    @Override
    public final void refuse(CallFailure failure) {
        steps.runOnContext(() -> fail(failure.withRan(attempts.ranBefore())));
    }

    @Override
    public final long elapsedNanos() {
        return deadline.elapsedNanos();
    }

    /** Selects an upstream and sends the call there, or waits until one is available. */
    final void findUpstream() {
        search.start();
    }

    /** Fails the call if a part of its prompt is quarantined and no engine has begun it; returns whether it did. */
    final boolean isRefusedByQuarantine() {
        Optional<CallFailure> refusal = hasBegun() ? Optional.empty() : quarantineCheck.check(deadline.elapsedMillis());
        refusal.ifPresent(failure -> fail(failure.withRan(attempts.ranBefore())));
        return refusal.isPresent();
    }

    /** Sends the call to {@code target}. */
    final void send(UpstreamSelector.Selection target) {
        switchTo(target);
        if (attempts.isUnsent()) {
            components.dispatchQueue().sent(this);
        }
        attempts.countSend();
        UpstreamCall call = upstreamCall(target, lastEventId(), Optional.empty());
        exchange = UpstreamExchange.start(
                components.client(), components.codec(), call, body, createListener(target), steps.guard());
    }

    /** Makes {@code target}, where the call now counts as running, the upstream of its current or next exchange. */
    final void switchTo(UpstreamSelector.Selection target) {
        switchBackTo(target);
        place.take(target);
    }

    /** Makes an earlier upstream that of the next exchange; the call counts there only if it still does. */
    final void switchBackTo(UpstreamSelector.Selection earlier) {
        selection = earlier;
        selectedAtNanos = components.clock().nanos();
    }

    /** Returns the priority that an engine is told of the call now; empty for none. May be called from any thread. */
    final OptionalInt requestPriority() {
        return components.requestPriority().of(plan, timeToFirstEvent());
    }

    /** Returns the request to {@code target} with the time that is left now. */
    final UpstreamCall upstreamCall(UpstreamSelector.Selection target, long lastEventId, Optional<KvCacheCopy> copy) {
        Duration left = deadline.timeLeft();
        return new UpstreamCall(
                plan.request(), target.upstream(), plan.workspace(), left, lastEventId, requestPriority(), copy);
    }

    /** Returns how long ago the call was last assigned to an upstream, in milliseconds. */
    final long millisSinceSelection() {
        return Duration.ofNanos(components.clock().nanos() - selectedAtNanos).toMillis();
    }

    /**
     * Asks whether the process of an upstream still runs, and passes the answer to {@code onAnswer} unless the call has
     * ended. The end of a response without framing may only show that its process ended, or that it is about to.
     */
    final void askWhetherProcessRuns(UpstreamSelector.Selection target, Consumer<ProcessEvidence> onAnswer) {
        new ProcessQuestion(this, target.upstream(), onAnswer).ask();
    }

    /** Returns the failure of a response whose end does not show that it is whole. */
    static CallFailure unprovenEnd(String reason) {
        return CallFailure.of(
                        ErrorKind.OUTCOME_UNKNOWN, "the end of the response does not show that it is whole: " + reason)
                .withRan(Ran.UNKNOWN);
    }

    /** Returns the details of the latest run at {@code target}, for the trace; empty for a call without runs. */
    abstract Map<String, ?> runDetails(UpstreamSelector.Selection target);

    /** Returns the number of events delivered to the caller; 0 if another run can resume the stream after them. */
    abstract long unresumableEvents();

    /** Sends a complete upstream response to the caller and ends the call. */
    final void sendResponse(ResponseHead head, Buffer responseBody) {
        if (!steps.hasEnded()) {
            answer.send(head, responseBody);
            finish(!head.successful());
        }
    }

    /** Obeys what the upstream says of itself in a response, if the response is this call's and its own. */
    final void obeyStatements(UpstreamSelector.Selection target, ResponseHead head) {
        if (ResponseValidator.mayStateOfItself(plan, head)) {
            Map<String, ?> origin = Map.of("call", plan.request().id(), "at_ms", deadline.elapsedMillis());
            components.statements().obey(target.upstream(), head.statement(), origin);
        }
    }

    /** Passes on the load that the upstream states in a response to the call. */
    final void recordLoad(UpstreamSelector.Selection target, ResponseHead head) {
        components.workers().executeOrRun(() -> components.claimedLoads().record(plan, target, head));
    }

    /** Fails the call. */
    final void fail(CallFailure failure) {
        if (steps.hasEnded()) {
            return;
        }
        answer.fail(failure, deliveredEvents());
        finish(true);
    }

    /** Ends the call after its response has been sent or its caller has disconnected. */
    final void finish(boolean failed) {
        steps.end();
        deadline.cancel(steps);
        components.dispatchQueue().remove(this);
        try {
            place.release();
            releaseResources();
        } finally {
            components.openCalls().remove(this);
        }
        trace.finish(failed);
    }

    /** Cancels the exchange with the upstream, if any. */
    final void cancelExchange(ErrorKind kind) {
        if (exchange != null) {
            exchange.cancel();
            exchange = null;
            place.recordResult(selection, CallResult.failed(kind));
        }
    }

    private void callerDisconnected() {
        if (!steps.hasEnded()) {
            trace.record(
                    EventCode.CALLER_LEFT,
                    deadline.elapsedMillis(),
                    Map.of("last_event", lastEventId(), "events", deliveredEvents()));
            cancelExchange(ErrorKind.CANCELLED);
            finish(false);
        }
    }

    private void deadlineExpired() {
        if (steps.hasEnded()) {
            return;
        }
        if (exchange != null) {
            samples.failed(selection.upstream());
        }
        giveUp(CallFailure.of(
                ErrorKind.DEADLINE_EXCEEDED,
                "not answered within " + plan.timeLimit().toMillis() + " ms"));
    }

    /**
     * Answers the call because the entry stops, unless a part of its response has been sent; may be called from any
     * thread.
     */
    final void answerBeforeStop() {
        steps.runOnContext(() -> {
            if (!caller.hasBegun()) {
                components.metrics().increment("relay.stop.answered");
                giveUp(CallFailure.of(ErrorKind.DRAINING, "this entry stops").withRetryAfter(RETRY_AFTER_STOP));
            }
        });
    }

    /** Fails the call because one of its steps threw an error. */
    private void failAfterError(CallFailure failure) {
        if (exchange != null) {
            exchange.cancel();
            exchange = null;
        }
        fail(failure.withRan(attempts.isUnsent() ? attempts.ranBefore() : Ran.UNKNOWN));
    }

    /** Closes the caller's connection and ends the call, which can't be answered. */
    private void abandon() {
        caller.abandon();
        if (!steps.hasEnded()) {
            finish(true);
        }
    }

    /** Fails the call wherever it is; states that it has not run only if no upstream has it or had it. */
    private void giveUp(CallFailure failure) {
        boolean notRun = exchange == null && attempts.ranBefore() == Ran.NO && !mayRunWithoutExchange();
        cancelExchange(failure.kind());
        fail(failure.withRan(notRun ? Ran.NO : Ran.UNKNOWN));
    }
}
