package coriandersill.experiment;

import coriandersill.admission.AdmissionController;
import coriandersill.admission.AdmissionDecision;
import coriandersill.admission.AdmissionRequest;
import coriandersill.admission.Completion;
import coriandersill.admission.UpstreamLoad;
import coriandersill.core.CallFailure;
import coriandersill.core.CallId;
import coriandersill.core.ErrorKind;
import coriandersill.core.RouteName;
import coriandersill.routing.LoadReport;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A model of a sidecar, with its admission controller and engine, in virtual time. */
final class SidecarModel implements EngineListener {
    private static final RouteName ROUTE = RouteName.of("completions");

    private final EventQueue events;
    private final AdmissionController admission;
    private final EngineModel engine;
    private final SidecarListener listener;
    private final Map<CallId, Call> calls = new HashMap<>();

    SidecarModel(EventQueue events, AdmissionController admission, EngineSpec spec, SidecarListener listener) {
        this.events = events;
        this.admission = admission;
        this.engine = new EngineModel(spec, this);
        this.listener = listener;
    }

    /** Offers a call sent by an entry to the admission controller. */
    void offer(Call call, long deadlineNanos) {
        EngineRequest request = call.arrival.request();
        calls.put(request.id(), call);
        applyDecision(admission.offer(new AdmissionRequest(
                request.id(),
                call.attemptNumber,
                call.arrival.workspace(),
                call.arrival.weight(),
                ROUTE,
                Deployment.VERSION,
                request.promptTokens(),
                call.arrival.maxTokens(),
                request.priority(),
                deadlineNanos)));
    }

    /** Refuses waiting requests whose deadline has passed, and admits others if there is room. */
    void processQueue() {
        scheduleDecisions(admission.processQueue());
    }

    LoadReport report() {
        UpstreamLoad load = admission.load();
        return new LoadReport(
                load.running(), load.waiting(), load.limit(), load.cold(), load.reservedTokens(), load.memoryTokens());
    }

    EngineModel engine() {
        return engine;
    }

    @Override
    public void tokenGenerated(CallId id) {
        Call call = calls.get(id);
        admission.generated(id, 1);
        listener.tokenGenerated(call);
        call.generatedTokens++;
        call.lastTokenAtNanos = events.nowNanos();
        if (call.generatedTokens == 1) {
            call.firstTokenAtNanos = events.nowNanos();
        }
    }

    @Override
    public void generationEnded(CallId id, boolean completed) {
        Call call = calls.remove(id);
        scheduleDecisions(admission.finished(id, completed ? Completion.FINISHED : Completion.FAILED));
        if (completed) {
            listener.finished(call);
        } else {
            ErrorKind kind = call.generatedTokens > 0 ? ErrorKind.GENERATION_INTERRUPTED : ErrorKind.OUTCOME_UNKNOWN;
            listener.failed(
                    call,
                    CallFailure.of(
                            kind,
                            "the engine crashed or was down after " + call.generatedTokens + " generated tokens"));
        }
    }

    private void scheduleDecisions(List<AdmissionDecision> decisions) {
        for (AdmissionDecision decision : decisions) {
            events.schedule(0, () -> applyDecision(decision));
        }
    }

    private void applyDecision(AdmissionDecision decision) {
        Call call = calls.get(decision.id());
        if (call == null) {
            return;
        }
        if (decision instanceof AdmissionDecision.Admitted) {
            call.submittedToEngine = true;
            engine.submit(call.arrival.request(), events.nowNanos());
            startIteration();
        } else if (decision instanceof AdmissionDecision.Refused refused) {
            calls.remove(decision.id());
            listener.failed(call, refused.failure());
        }
    }

    private void startIteration() {
        long lengthNanos = engine.startIteration(events.nowNanos());
        if (lengthNanos >= 0) {
            events.schedule(lengthNanos, this::endIteration);
        }
    }

    private void endIteration() {
        engine.endIteration();
        scheduleDecisions(admission.processQueue());
        startIteration();
    }
}
