package coriandersill.admission;

import coriandersill.core.CallId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The admitted requests with the memory that they hold and are predicted to hold; guarded by the lock of
 * {@link PredictiveAdmission}.
 */
final class RunningSet {
    private final Map<CallId, RunningCall> running = new HashMap<>();
    /** The calls without a first token, in order of admission. */
    private final Map<CallId, RunningCall> awaitingFirstToken = new LinkedHashMap<>();

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

    RunningCall get(CallId id) {
        return running.get(id);
    }

    long heldTokens() {
        return heldTokens;
    }

    long prefillTokens() {
        return prefillTokens;
    }

    long peak(double standardDeviations) {
        return projection.peak(standardDeviations);
    }

    /** The predicted memory and cost of a request. */
    record Forecast(MemoryProjection.Contribution contribution, double cost) {}

    Forecast forecast(AdmissionRequest request) {
        if (request.maxTokens() == 0) {
            return new Forecast(contribution(request, 0, furtherTokens -> 0), cost.of(request.promptTokens(), 0));
        }
        RemainingLength remaining = estimator.remaining(LengthKey.of(request), 0);
        int medianTokens = Math.min(remaining.quantile(0.5), request.maxTokens());
        return new Forecast(contribution(request, 0, remaining), cost.of(request.promptTokens(), medianTokens));
    }

    long peakWith(Forecast forecast, double standardDeviations) {
        return projection.peakWith(forecast.contribution(), standardDeviations);
    }

    void add(RunningCall added, Forecast forecast) {
        AdmissionRequest request = added.request;
        running.put(request.id(), added);
        awaitingFirstToken.put(request.id(), added);
        adjustHeldTokens(added, request.promptTokens());
        prefillTokens += request.promptTokens();
        added.contribution = forecast.contribution();
        projection.add(added.contribution);
        added.chargedCost = forecast.cost();
    }

    /** Removes a request, settles its cost, and reports its end to the estimator. */
    void remove(RunningCall removed, Completion completion) {
        AdmissionRequest request = removed.request;
        running.remove(request.id());
        if (awaitingFirstToken.remove(request.id()) != null) {
            prefillTokens -= request.promptTokens();
        }
        adjustHeldTokens(removed, -removed.heldTokens());
        projection.remove(removed.contribution);
        settleCost(removed, cost.of(request.promptTokens(), removed.generatedTokens));
        if (!removed.isPlain() && removed.generatedTokens > 0) {
            boolean ended = completion == Completion.FINISHED && removed.generatedTokens < request.maxTokens();
            estimator.observe(removed.key, removed.observedTokens, removed.generatedTokens, ended);
        }
    }

    /** Records the first token of a request. */
    void recordFirstToken(RunningCall started) {
        awaitingFirstToken.remove(started.request.id());
        prefillTokens -= started.request.promptTokens();
    }

    void recordTokens(RunningCall call, int tokens) {
        call.generatedTokens += tokens;
        adjustHeldTokens(call, tokens);
        if (call.generatedTokens >= call.nextProjectionTokens) {
            updateProjection(call);
        }
    }

    /**
     * Marks the calls admitted at or before {@code latestAdmissionNanos} that have no first token as overdue; returns
     * the number of newly marked calls.
     */
    int markOverdue(long latestAdmissionNanos) {
        int newlyOverdue = 0;
        Iterator<RunningCall> oldestFirst = awaitingFirstToken.values().iterator();
        boolean scanning = oldestFirst.hasNext();
        while (scanning) {
            RunningCall next = oldestFirst.next();
            scanning = next.admittedNanos - latestAdmissionNanos <= 0;
            if (scanning && !next.overdue) {
                next.overdue = true;
                newlyOverdue++;
            }
            scanning = scanning && oldestFirst.hasNext();
        }
        return newlyOverdue;
    }

    List<RunningGeneration> generations() {
        List<RunningGeneration> generations = new ArrayList<>();
        for (RunningCall call : running.values()) {
            if (!call.isPlain()) {
                generations.add(new RunningGeneration(
                        call.request.id(), call.request.priority(), call.generatedTokens, call.heldTokens()));
            }
        }
        return generations;
    }

    private void adjustHeldTokens(RunningCall call, long tokens) {
        heldTokens += tokens;
        call.account.heldTokens += tokens;
    }

    private void updateProjection(RunningCall call) {
        estimator.observe(call.key, call.observedTokens, call.generatedTokens, false);
        call.observedTokens = call.generatedTokens;
        projection.remove(call.contribution);
        RemainingLength remaining = estimator.remaining(call.key, call.generatedTokens);
        call.contribution = contribution(call.request, call.generatedTokens, remaining);
        projection.add(call.contribution);
        call.scheduleNextProjection();
        double actual = cost.of(call.request.promptTokens(), call.generatedTokens);
        if (actual > call.chargedCost) {
            settleCost(call, actual);
        }
    }

    private void settleCost(RunningCall call, double actual) {
        call.account.charge(actual - call.chargedCost);
        call.chargedCost = actual;
    }

    private static MemoryProjection.Contribution contribution(
            AdmissionRequest request, int generated, RemainingLength remaining) {
        return MemoryProjection.contribution(
                (long) request.promptTokens() + generated, remaining, Math.max(0, request.maxTokens() - generated));
    }
}
