package coriandersill.admission;

import coriandersill.core.CallId;
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
    private final Map<CallId, Running> running = new HashMap<>();
    /** Those without a first token, the longest admitted first. */
    private final Map<CallId, Running> unstarted = new LinkedHashMap<>();

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

    Running get(CallId id) {
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

    /** What a request is expected to hold and to cost. */
    record Forecast(MemoryProjection.Contribution contribution, double cost) {}

    Forecast forecast(AdmissionRequest request) {
        if (request.maxTokens() == 0) {
            return new Forecast(contribution(request, 0, more -> 0), cost.of(request.promptTokens(), 0));
        }
        RemainingLength remaining = estimator.remaining(LengthKey.of(request), 0);
        int likely = Math.min(remaining.quantile(0.5), request.maxTokens());
        return new Forecast(contribution(request, 0, remaining), cost.of(request.promptTokens(), likely));
    }

    long peakWith(Forecast forecast, double deviations) {
        return projection.peakWith(forecast.contribution(), deviations);
    }

    void add(Running added, Forecast forecast) {
        AdmissionRequest request = added.request;
        running.put(request.id(), added);
        unstarted.put(request.id(), added);
        hold(added, request.promptTokens());
        prefillTokens += request.promptTokens();
        added.contribution = forecast.contribution();
        projection.add(added.contribution);
        added.charged = forecast.cost();
    }

    /** Removes a request, settles its cost, and lets the estimator learn how it ended. */
    void remove(Running removed, Completion completion) {
        AdmissionRequest request = removed.request;
        running.remove(request.id());
        if (unstarted.remove(request.id()) != null) {
            prefillTokens -= request.promptTokens();
        }
        hold(removed, -removed.heldTokens());
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
        hold(grown, tokens);
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

    private void hold(Running holder, long tokens) {
        heldTokens += tokens;
        holder.account.heldTokens += tokens;
    }

    private void project(Running grown) {
        estimator.observe(grown.key, grown.observed, grown.generated, false);
        grown.observed = grown.generated;
        projection.remove(grown.contribution);
        RemainingLength remaining = estimator.remaining(grown.key, grown.generated);
        grown.contribution = contribution(grown.request, grown.generated, remaining);
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

    private static MemoryProjection.Contribution contribution(
            AdmissionRequest request, int generated, RemainingLength remaining) {
        return MemoryProjection.contribution(
                (long) request.promptTokens() + generated, remaining, Math.max(0, request.maxTokens() - generated));
    }
}
