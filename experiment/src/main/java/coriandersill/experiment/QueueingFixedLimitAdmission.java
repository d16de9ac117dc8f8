package coriandersill.experiment;

import coriandersill.admission.AdmissionController;
import coriandersill.admission.AdmissionDecision;
import coriandersill.admission.AdmissionRequest;
import coriandersill.admission.Completion;
import coriandersill.admission.UpstreamLoad;
import coriandersill.core.CallFailure;
import coriandersill.core.CallId;
import coriandersill.core.ErrorKind;
import coriandersill.core.MonotonicClock;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * An admission controller with a fixed concurrency limit and a FIFO queue in which requests wait until their deadline.
 *
 * <p>Queueing makes it a stronger baseline than refusing requests above the limit immediately. Not thread-safe, because
 * each simulation runs in a single thread.
 */
final class QueueingFixedLimitAdmission implements AdmissionController {
    private final MonotonicClock clock;
    private final int limit;
    private final Set<CallId> running = new HashSet<>();
    private final Map<CallId, AdmissionRequest> waiting = new LinkedHashMap<>();

    QueueingFixedLimitAdmission(MonotonicClock clock, int limit) {
        this.clock = clock;
        this.limit = limit;
    }

    @Override
    public AdmissionDecision offer(AdmissionRequest request) {
        if (running.size() < limit) {
            running.add(request.id());
            return new AdmissionDecision.Admitted(request.id());
        }
        waiting.put(request.id(), request);
        return new AdmissionDecision.Waiting(request.id());
    }

    @Override
    public void generated(CallId id, int tokens) {
        // The limit does not depend on the number of generated tokens.
    }

    @Override
    public List<AdmissionDecision> finished(CallId id, Completion completion) {
        waiting.remove(id);
        running.remove(id);
        return processQueue();
    }

    @Override
    public List<AdmissionDecision> processQueue() {
        List<AdmissionDecision> decisions = new ArrayList<>();
        Iterator<AdmissionRequest> queue = waiting.values().iterator();
        while (queue.hasNext()) {
            AdmissionRequest next = queue.next();
            if (next.deadlineNanos() <= clock.nanos()) {
                queue.remove();
                CallFailure failure = CallFailure.of(
                        ErrorKind.OVERLOADED, "not admitted before the deadline, concurrency limit " + limit);
                decisions.add(new AdmissionDecision.Refused(next.id(), failure));
            } else if (running.size() < limit) {
                queue.remove();
                running.add(next.id());
                decisions.add(new AdmissionDecision.Admitted(next.id()));
            }
        }
        return decisions;
    }

    @Override
    public UpstreamLoad load() {
        return new UpstreamLoad(running.size(), waiting.size(), limit, false, 0, 0);
    }
}
