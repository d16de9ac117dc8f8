package coriandersill.admission;

import coriandersill.core.GenerationId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The admitted requests with the memory that they hold and are expected to hold; guarded by the lock of
 * {@link PredictiveAdmission}.
 */
final class RunningSet {
    private final Map<GenerationId, Running> running = new HashMap<>();
    /** Those without a first token, the longest admitted first. */
    private final Map<GenerationId, Running> unstarted = new LinkedHashMap<>();

    private final MemoryProjection projection = new MemoryProjection();
    private final LengthEstimator estimator;
    private final ServiceCost cost;
    private long heldTokens;
    private long prefillTokens;

    RunningSet(LengthEstimator estimator, ServiceCost cost) {
        this.estimator = estimator;
        this.cost = cost;
    }

    int size() {
        return running.size();
    }

    Running get(GenerationId id) {
        return running.get(id);
    }

    long heldTokens() {
        return heldTokens;
    }

    long prefillTokens() {
        return prefillTokens;
    }

    long peak(double deviations) {
        return projection.peak(deviations);
    }

    long peakWith(AdmissionRequest request, double deviations) {
        return projection.peakWith(contribution(request, 0), deviations);
    }

    /** Adds a request and returns its predicted cost. */
    double add(Running added) {
        AdmissionRequest request = added.request;
        running.put(request.id(), added);
        unstarted.put(request.id(), added);
        heldTokens += request.promptTokens();
        prefillTokens += request.promptTokens();
        added.contribution = contribution(request, 0);
        projection.add(added.contribution);
        int likely = estimator.remaining(added.key, 0).quantile(0.5);
        added.charged = cost.of(request.promptTokens(), Math.min(likely, request.maxTokens()));
        return added.charged;
    }

    /** Removes a request, settles its cost, and lets the estimator learn how it ended. */
    void remove(Running removed, Completion completion) {
        AdmissionRequest request = removed.request;
        running.remove(request.id());
        if (unstarted.remove(request.id()) != null) {
            prefillTokens -= request.promptTokens();
        }
        heldTokens -= removed.heldTokens();
        projection.remove(removed.contribution);
        settle(removed, cost.of(request.promptTokens(), removed.generated));
        if (!removed.plain() && removed.generated > 0) {
            boolean ended = completion == Completion.FINISHED && removed.generated < request.maxTokens();
            estimator.observe(removed.key, removed.observed, removed.generated, ended);
        }
    }

    /** Notes the first tokens of a request. */
    void started(Running started) {
        unstarted.remove(started.request.id());
        prefillTokens -= started.request.promptTokens();
    }

    void generated(Running grown, int tokens) {
        grown.generated += tokens;
        heldTokens += tokens;
        if (grown.generated >= grown.nextProjection) {
            project(grown);
        }
    }

    /**
     * Marks and counts those that have waited for their first token since {@code beforeNanos} and are not marked yet.
     */
    int overdue(long beforeNanos) {
        int overdue = 0;
        Iterator<Running> oldestFirst = unstarted.values().iterator();
        boolean more = oldestFirst.hasNext();
        while (more) {
            Running next = oldestFirst.next();
            more = next.admittedNanos - beforeNanos <= 0;
            if (more && !next.overdue) {
                next.overdue = true;
                overdue++;
            }
            more = more && oldestFirst.hasNext();
        }
        return overdue;
    }

    List<RunningGeneration> generations() {
        List<RunningGeneration> generations = new ArrayList<>();
        for (Running each : running.values()) {
            if (!each.plain()) {
                generations.add(new RunningGeneration(
                        each.request.id(), each.request.priority(), each.generated, each.heldTokens()));
            }
        }
        return generations;
    }

    private void project(Running grown) {
        estimator.observe(grown.key, grown.observed, grown.generated, false);
        grown.observed = grown.generated;
        projection.remove(grown.contribution);
        grown.contribution = contribution(grown.request, grown.generated);
        projection.add(grown.contribution);
        grown.projected();
        double actual = cost.of(grown.request.promptTokens(), grown.generated);
        if (actual > grown.charged) {
            settle(grown, actual);
        }
    }

    private void settle(Running settled, double actual) {
        settled.account.charge(actual - settled.charged);
        settled.charged = actual;
    }

    private MemoryProjection.Contribution contribution(AdmissionRequest request, int generated) {
        return MemoryProjection.contribution(
                (long) request.promptTokens() + generated,
                estimator.remaining(LengthKey.of(request), generated),
                Math.max(0, request.maxTokens() - generated));
    }
}
