package coriandersill.sidecar.internal;

import com.codahale.metrics.Counter;
import coriandersill.admission.AdmissionDecision;
import coriandersill.admission.AdmissionRequest;
import coriandersill.admission.Completion;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.RouteName;
import coriandersill.core.WorkspaceName;
import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Carries out the decisions of admission: a dispatch waits, goes to the upstream or is refused.
 *
 * <p>Calls enter the table in the order in which their dispatches arrive, so that a cancel never overtakes its
 * dispatch; everything else about them is decided on the workers.
 */
public final class CallDispatcher {
    private static final long RESUME_WINDOW_MILLIS = 5_000;

    private final SidecarContext context;
    private final CallTable calls;
    private final UpstreamClient upstream;
    private final AtomicBoolean draining = new AtomicBoolean();
    private final Counter refused;
    private final Counter admitted;

    private CallDispatcher(SidecarContext context, CallTable calls, UpstreamClient upstream) {
        this.context = context;
        this.calls = calls;
        this.upstream = upstream;
        this.refused = context.metrics().counter("calls.refused");
        this.admitted = context.metrics().counter("calls.admitted");
    }

    /** Returns a gate over a table of calls. */
    public static CallDispatcher create(SidecarContext context, CallTable calls, UpstreamClient upstream) {
        return new CallDispatcher(context, calls, upstream);
    }

    /** Takes no new work from now on; returns false if that was so before. */
    public boolean drain() {
        return draining.compareAndSet(false, true);
    }

    /** Whether the gate takes no new work. */
    public boolean draining() {
        return draining.get();
    }

    void dispatch(WireConnection connection, Message.Dispatch dispatch) {
        OpenCall call = new OpenCall(dispatch, connection, context.clock().nanos());
        if (!calls.add(call)) {
            answerRefused(call, CallFailure.of(ErrorKind.FENCED, "another attempt at this call is open here"));
            return;
        }
        onWorker(call, () -> offer(call));
    }

    private void onWorker(OpenCall call, Runnable task) {
        try {
            context.workers().execute(task);
        } catch (CallFailure saturated) {
            refuse(call, saturated);
        }
    }

    private void offer(OpenCall call) {
        Optional<CallFailure> refusal = refusal(call);
        if (refusal.isPresent()) {
            refuse(call, refusal.get());
            return;
        }
        AdmissionDecision decision = context.admission().offer(request(call));
        if (call.stage() == OpenCall.State.ENDED) {
            release(call, Completion.CANCELLED);
            return;
        }
        carryOut(decision);
    }

    private Optional<CallFailure> refusal(OpenCall call) {
        Message.Dispatch dispatch = call.dispatch();
        Message.Target target = dispatch.target();
        if (draining.get()) {
            return Optional.of(CallFailure.of(ErrorKind.DRAINING, "the sidecar drains"));
        }
        boolean ours = target.service().equals(context.settings().service().value())
                && target.version().equals(context.settings().version().value());
        if (!ours) {
            return Optional.of(CallFailure.of(
                    ErrorKind.UNAVAILABLE,
                    "upstream serves " + context.settings().service() + " "
                            + context.settings().version() + ", not " + target.service() + " " + target.version()));
        }
        if (remaining(call).isNegative()) {
            return Optional.of(CallFailure.of(ErrorKind.DEADLINE_EXCEEDED, "the deadline passed on the way"));
        }
        return context.check().arriving(dispatch);
    }

    private AdmissionRequest request(OpenCall call) {
        Message.Dispatch dispatch = call.dispatch();
        Message.Target target = dispatch.target();
        return new AdmissionRequest(
                call.id(),
                call.attempt().attempt(),
                WorkspaceName.of(target.workspace()),
                target.weight(),
                RouteName.of(target.route()),
                context.settings().version(),
                dispatch.promptTokens(),
                dispatch.maxTokens(),
                target.priority(),
                call.receivedNanos() + dispatch.remaining().toNanos());
    }

    private Duration remaining(OpenCall call) {
        long spent = context.clock().nanos() - call.receivedNanos();
        return call.dispatch().remaining().minusNanos(spent);
    }

    /** Carries out decisions in order. */
    public void carryOut(List<AdmissionDecision> decisions) {
        decisions.forEach(this::carryOut);
    }

    private void carryOut(AdmissionDecision decision) {
        Optional<OpenCall> found = calls.find(decision.id());
        if (found.isEmpty()) {
            if (decision instanceof AdmissionDecision.Admitted) {
                carryOut(context.admission().finished(decision.id(), Completion.CANCELLED));
            }
        } else if (decision instanceof AdmissionDecision.Admitted) {
            handOn(found.get());
        } else if (decision instanceof AdmissionDecision.Refused refusal) {
            refuse(found.get(), refusal.failure());
        }
    }

    private void handOn(OpenCall call) {
        Optional<CallFailure> refusal = remaining(call).isNegative()
                ? Optional.of(CallFailure.of(ErrorKind.DEADLINE_EXCEEDED, "the deadline passed while waiting"))
                : context.check().handingOn(call.dispatch());
        if (refusal.isPresent()) {
            refuse(call, refusal.get());
            release(call, Completion.CANCELLED);
            return;
        }
        if (!call.begin()) {
            release(call, Completion.CANCELLED);
            return;
        }
        admitted.inc();
        UpstreamCall run = call.dispatch().work().generation()
                ? GenerationCall.begin(this, context, call, upstream)
                : PlainCall.begin(this, context, call, upstream);
        call.running(run);
        if (call.stage() == OpenCall.State.ENDED) {
            run.cancel();
        }
    }

    /** Ends a call that did not run. */
    void refuse(OpenCall call, CallFailure failure) {
        if (call.end().isPresent()) {
            calls.remove(call);
            answerRefused(call, failure);
        }
    }

    private void answerRefused(OpenCall call, CallFailure failure) {
        refused.inc();
        call.send(new Message.Refused(call.attempt(), failure.kind(), failure.getMessage(), failure.retryAfter()));
    }

    /** Ends a call that was at the upstream; the answer has been sent, or waits for a resume. */
    void finished(OpenCall call, Completion completion) {
        if (call.end().isPresent()) {
            calls.remove(call);
            context.workers().executeOrRun(() -> release(call, completion));
        }
    }

    private void release(OpenCall call, Completion completion) {
        int tokens = call.takeNewTokens();
        if (tokens > 0) {
            context.admission().generated(call.id(), tokens);
        }
        carryOut(context.admission().finished(call.id(), completion));
    }

    void cancel(Message.Cancel cancel) {
        calls.find(cancel.call()).ifPresent(this::cancel);
    }

    private void cancel(OpenCall call) {
        Optional<OpenCall.State> before = call.end();
        if (before.isEmpty()) {
            return;
        }
        calls.remove(call);
        call.run().ifPresent(UpstreamCall::cancel);
        context.workers().executeOrRun(() -> release(call, Completion.CANCELLED));
    }

    void credit(Message.Credit credit) {
        calls.find(credit.call()).flatMap(OpenCall::run).ifPresent(run -> run.credit(credit.tokens()));
    }

    void resume(WireConnection connection, Message.Resume resume) {
        Optional<OpenCall> found = calls.find(resume.call());
        boolean resumed = found.flatMap(OpenCall::run)
                .map(run -> run.resume(connection, resume.nextIndex(), resume.credit()))
                .orElse(false);
        if (!resumed) {
            connection.send(new Message.Failed(
                    resume.call(),
                    ErrorKind.GENERATION_INTERRUPTED,
                    ErrorKind.GENERATION_INTERRUPTED.ran(),
                    "the generation is no longer kept here",
                    Duration.ZERO));
        }
    }

    /** Lets calls without a connection be resumed for a while; those that wait end at once. */
    void disconnected(WireConnection connection) {
        for (OpenCall call : calls.of(connection)) {
            if (call.stage() == OpenCall.State.WAITING) {
                cancel(call);
            } else if (call.dispatch().work().generation()) {
                context.vertx().setTimer(RESUME_WINDOW_MILLIS, late -> {
                    if (call.cameOver(connection)) {
                        cancel(call);
                    }
                });
            }
        }
    }

    /** Passes on the progress of generations and lets admission act on time. */
    public void tick() {
        for (OpenCall call : calls.all()) {
            int tokens = call.takeNewTokens();
            if (tokens > 0) {
                context.admission().generated(call.id(), tokens);
            }
        }
        carryOut(context.admission().expire());
    }
}
