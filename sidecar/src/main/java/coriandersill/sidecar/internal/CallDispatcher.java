package coriandersill.sidecar.internal;

import com.codahale.metrics.Counter;
import coriandersill.admission.AdmissionDecision;
import coriandersill.admission.AdmissionRequest;
import coriandersill.admission.Completion;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import coriandersill.core.RouteName;
import coriandersill.core.WorkspaceName;
import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Applies admission decisions to dispatched calls: a call waits, is sent to the upstream or is refused.
 *
 * <p>Calls are added to the table on the event loop of their connection, in the order in which their dispatches arrive,
 * so that a cancel never overtakes its dispatch. Cancels, credit, resumes and lost connections are handled on the event
 * loops as well; calls are checked and offered to admission on the workers. Each step of a call runs in its guard, so
 * that an error ends only this call, and its entry is told.
 */
public final class CallDispatcher {
    /** Longer than the 4 s for which the entry waits to resume, so that a resume still finds the generation. */
    private static final long RESUME_TIMEOUT_MILLIS = 5_000;

    private final SidecarContext sidecar;
    private final CallTable calls;
    private final UpstreamClient upstreamClient;
    private final UpstreamCondition upstreamCondition;
    private final AtomicBoolean draining = new AtomicBoolean();
    private final Counter refusedCount;
    private final Counter admittedCount;

    private CallDispatcher(
            SidecarContext sidecar, CallTable calls, UpstreamClient upstreamClient, UpstreamCondition condition) {
        this.sidecar = sidecar;
        this.calls = calls;
        this.upstreamClient = upstreamClient;
        this.upstreamCondition = condition;
        this.refusedCount = sidecar.metrics().counter("calls.refused");
        this.admittedCount = sidecar.metrics().counter("calls.admitted");
    }

    /** Returns a dispatcher for the calls in a table. */
    public static CallDispatcher create(
            SidecarContext sidecar, CallTable calls, UpstreamClient upstreamClient, UpstreamCondition condition) {
        return new CallDispatcher(sidecar, calls, upstreamClient, condition);
    }

    UpstreamCondition upstreamCondition() {
        return upstreamCondition;
    }

    /** Stops accepting new calls; returns false if it was already draining. */
    public boolean drain() {
        return draining.compareAndSet(false, true);
    }

    /** Returns whether new calls are refused because the sidecar is draining. */
    public boolean isDraining() {
        return draining.get();
    }

    void dispatch(WireConnection connection, Message.Dispatch dispatch) {
        OpenCall call =
                new OpenCall(dispatch, connection, sidecar.clock().nanos(), sidecar.events(), new EndAfterError());
        if (!calls.add(call)) {
            sendRefusal(call, CallFailure.of(ErrorKind.FENCED, "another attempt at this call is open here"));
            return;
        }
        executeOrRefuse(call, () -> call.guard().run(() -> offer(call)));
    }

    private final class EndAfterError implements OpenCall.ErrorListener {
        @Override
        public void onError(OpenCall call, CallFailure failure) {
            call.markEnded().ifPresent(previous -> endAfterError(call, previous, failure));
        }

        @Override
        public void onSecondError(OpenCall call) {
            // The entry cannot be told, so it learns from its connection that it will hear nothing.
            calls.remove(call);
            call.connection().close();
        }
    }

    /** Ends a call in which a step threw an error; it counts as not run only if it was not sent to the upstream. */
    private void endAfterError(OpenCall call, OpenCall.State previous, CallFailure failure) {
        calls.remove(call);
        boolean sent = previous == OpenCall.State.RUNNING;
        release(call, sent ? Completion.FAILED : Completion.CANCELLED);
        call.upstreamCall().ifPresent(UpstreamCall::cancel);
        if (sent) {
            call.send(new Message.Failed(
                    call.attempt(), failure.kind(), Ran.UNKNOWN, failure.getMessage(), failure.retryAfter()));
        } else {
            sendRefusal(call, failure);
        }
    }

    /** Runs a task on a worker; refuses the call if the queue of the workers is full. */
    private void executeOrRefuse(OpenCall call, Runnable task) {
        try {
            sidecar.workers().execute(task);
        } catch (CallFailure failure) {
            refuse(call, failure);
        }
    }

    private void offer(OpenCall call) {
        Optional<CallFailure> refusal = checkDispatch(call);
        if (refusal.isPresent()) {
            refuse(call, refusal.get());
            return;
        }
        AdmissionDecision decision = sidecar.admission().offer(toAdmissionRequest(call));
        // A cancel that came before the offer found no admission to release, so it is released here.
        if (call.state() == OpenCall.State.ENDED) {
            releaseAdmission(call, Completion.CANCELLED);
            return;
        }
        apply(decision);
    }

    private Optional<CallFailure> checkDispatch(OpenCall call) {
        Message.Dispatch dispatch = call.dispatch();
        Message.Target target = dispatch.target();
        if (draining.get()) {
            return Optional.of(CallFailure.of(ErrorKind.DRAINING, "the sidecar drains"));
        }
        boolean served = target.service().equals(sidecar.settings().service().value())
                && target.version().equals(sidecar.settings().version().value());
        if (!served) {
            return Optional.of(CallFailure.of(
                    ErrorKind.UNAVAILABLE,
                    "upstream serves " + sidecar.settings().service() + " "
                            + sidecar.settings().version() + ", not " + target.service() + " " + target.version()));
        }
        if (remaining(call).isNegative()) {
            return Optional.of(CallFailure.of(ErrorKind.DEADLINE_EXCEEDED, "the deadline passed on the way"));
        }
        return upstreamCondition.refusal().or(() -> sidecar.dispatchCheck().checkOnArrival(dispatch));
    }

    private AdmissionRequest toAdmissionRequest(OpenCall call) {
        Message.Dispatch dispatch = call.dispatch();
        Message.Target target = dispatch.target();
        return new AdmissionRequest(
                call.id(),
                call.attempt().number(),
                WorkspaceName.of(target.workspace()),
                target.weight(),
                RouteName.of(target.route()),
                sidecar.settings().version(),
                dispatch.promptTokens(),
                dispatch.maxTokens(),
                target.priority(),
                call.receivedNanos() + dispatch.remaining().toNanos());
    }

    private Duration remaining(OpenCall call) {
        long elapsedNanos = sidecar.clock().nanos() - call.receivedNanos();
        return call.dispatch().remaining().minusNanos(elapsedNanos);
    }

    /** Applies admission decisions in order. */
    public void apply(List<AdmissionDecision> decisions) {
        decisions.forEach(this::apply);
    }

    private void apply(AdmissionDecision decision) {
        Optional<OpenCall> found = calls.find(decision.id());
        if (found.isEmpty()) {
            // The call has ended since; its admission is released.
            if (decision instanceof AdmissionDecision.Admitted) {
                apply(sidecar.admission().finished(decision.id(), Completion.CANCELLED));
            }
        } else if (decision instanceof AdmissionDecision.Admitted) {
            found.get().guard().run(() -> sendToUpstream(found.get()));
        } else if (decision instanceof AdmissionDecision.Refused refusal) {
            found.get().guard().run(() -> refuse(found.get(), refusal.failure()));
        }
    }

    private void sendToUpstream(OpenCall call) {
        Optional<CallFailure> refusal = remaining(call).isNegative()
                ? Optional.of(CallFailure.of(ErrorKind.DEADLINE_EXCEEDED, "the deadline passed while waiting"))
                : upstreamCondition.refusal().or(() -> sidecar.dispatchCheck().checkBeforeSending(call.dispatch()));
        if (refusal.isPresent()) {
            finish(call, Completion.CANCELLED, () -> refuse(call, refusal.get()));
            return;
        }
        if (!call.markRunning()) {
            releaseAdmission(call, Completion.CANCELLED);
            return;
        }
        admittedCount.inc();
        UpstreamCall upstreamCall = call.dispatch().request().generation()
                ? GenerationCall.start(this, sidecar, call, upstreamClient)
                : PlainCall.start(this, sidecar, call, upstreamClient);
        call.setUpstreamCall(upstreamCall);
        // A cancel that came before the upstream call was set has not reached it.
        if (call.state() == OpenCall.State.ENDED) {
            upstreamCall.cancel();
        }
    }

    /** Ends a call that did not run, and sends the refusal. */
    void refuse(OpenCall call, CallFailure failure) {
        if (call.markEnded().isPresent()) {
            calls.remove(call);
            sendRefusal(call, failure);
        }
    }

    private void sendRefusal(OpenCall call, CallFailure failure) {
        refusedCount.inc();
        call.send(new Message.Refused(call.attempt(), failure.kind(), failure.getMessage(), failure.retryAfter()));
    }

    /**
     * Releases the admission of a call that was admitted, and then lets {@code sendEnd} tell the entry how it ended, so
     * that a call which the entry sends next finds the place free.
     */
    void finished(OpenCall call, Completion completion, Runnable sendEnd) {
        sidecar.workers().executeOrRun(() -> call.guard().run(() -> finish(call, completion, sendEnd)));
    }

    private void finish(OpenCall call, Completion completion, Runnable sendEnd) {
        List<AdmissionDecision> decisions = finishAdmission(call, completion);
        call.guard().run(sendEnd);
        apply(decisions);
    }

    /** Sends the end of a call whose admission has been released, unless the call has ended otherwise since. */
    void sendEnd(OpenCall call, Message end) {
        if (call.state() == OpenCall.State.ENDED) {
            return;
        }
        call.send(end);
        call.markEnded();
        calls.remove(call);
    }

    private void release(OpenCall call, Completion completion) {
        sidecar.workers().executeOrRun(() -> call.guard().run(() -> releaseAdmission(call, completion)));
    }

    private void releaseAdmission(OpenCall call, Completion completion) {
        apply(finishAdmission(call, completion));
    }

    private List<AdmissionDecision> finishAdmission(OpenCall call, Completion completion) {
        reportTokens(call);
        return sidecar.admission().finished(call.id(), completion);
    }

    private void reportTokens(OpenCall call) {
        int tokens = call.takeUnreportedTokens();
        if (tokens > 0) {
            sidecar.admission().generated(call.id(), tokens);
        }
    }

    void cancel(Message.Cancel cancel) {
        calls.find(cancel.attempt()).ifPresent(this::cancel);
    }

    private void cancel(OpenCall call) {
        Optional<OpenCall.State> previous = call.markEnded();
        if (previous.isEmpty()) {
            return;
        }
        calls.remove(call);
        call.upstreamCall().ifPresent(UpstreamCall::cancel);
        release(call, Completion.CANCELLED);
    }

    void credit(Message.Credit credit) {
        calls.find(credit.attempt())
                .flatMap(OpenCall::upstreamCall)
                .ifPresent(upstreamCall -> upstreamCall.grantCredit(credit.tokens()));
    }

    void resume(WireConnection connection, Message.Resume resume) {
        Optional<OpenCall> found = calls.find(resume.attempt());
        boolean resumed = found.flatMap(OpenCall::upstreamCall)
                .map(upstreamCall -> upstreamCall.resume(connection, resume.nextIndex(), resume.credit()))
                .orElse(false);
        if (!resumed) {
            connection.send(new Message.Failed(
                    resume.attempt(),
                    ErrorKind.GENERATION_INTERRUPTED,
                    ErrorKind.GENERATION_INTERRUPTED.ran(),
                    "the generation is no longer kept here",
                    Duration.ZERO));
        }
    }

    /**
     * Keeps running generations for {@link #RESUME_TIMEOUT_MILLIS}, so that they can be resumed. Cancels waiting calls
     * at once and leaves running plain calls alone.
     */
    void disconnected(WireConnection connection) {
        for (OpenCall call : calls.findByConnection(connection)) {
            if (call.state() == OpenCall.State.WAITING) {
                cancel(call);
            } else if (call.dispatch().request().generation()) {
                sidecar.vertx().setTimer(RESUME_TIMEOUT_MILLIS, fired -> call.guard()
                        .run(() -> cancelIfStillLost(call, connection)));
            }
        }
    }

    private void cancelIfStillLost(OpenCall call, WireConnection lost) {
        if (call.usesConnection(lost)) {
            cancel(call);
        }
    }

    /** Reports generated tokens to admission, refuses calls whose wait has expired and admits calls that fit now. */
    public void reportTokensAndProcessQueue() {
        calls.openCalls().forEach(call -> call.guard().run(() -> reportTokens(call)));
        apply(sidecar.admission().processQueue());
    }
}
