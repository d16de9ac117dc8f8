package coriandersill.experiment;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.WorkspaceName;
import coriandersill.quota.WorkspaceQuota;
import coriandersill.routing.AttemptFailure;
import coriandersill.routing.CallResult;
import coriandersill.routing.Candidate;
import coriandersill.routing.CandidateInfo;
import coriandersill.routing.RetryDecision;
import coriandersill.routing.RetryPolicy;
import coriandersill.routing.RouteRequest;
import coriandersill.routing.Router;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** A model of an entry with its router, retry policy and quota, in virtual time. */
final class EntryModel {
    private static final ServiceName SERVICE = ServiceName.of("scribe");
    private static final RouteName ROUTE = RouteName.of("completions");
    /** The weight of the latest call in the moving average of a workspace's output lengths. */
    private static final double OUTPUT_TOKENS_SMOOTHING_FACTOR = 0.05;
    /** The output length assumed for a workspace until its first call has finished. */
    private static final double INITIAL_MEAN_OUTPUT_TOKENS = 300;

    private final EventQueue events;
    private final Router router;
    private final RetryPolicy retryPolicy;
    private final WorkspaceQuota quota;
    private final Deployment deployment;
    private final int index;
    private final long maxWaitNanos;
    private final EntryListener listener;
    private final Map<WorkspaceName, Double> meanOutputTokens = new HashMap<>();
    private final List<CandidateInfo> candidates;

    EntryModel(EventQueue events, Policies policies, Settings settings, EntryListener listener) {
        this.events = events;
        this.router = policies.router();
        this.retryPolicy = policies.retryPolicy();
        this.quota = policies.quota();
        this.deployment = settings.deployment();
        this.index = settings.index();
        this.maxWaitNanos = settings.maxWaitNanos();
        this.candidates = settings.candidates();
        this.listener = listener;
    }

    /**
     * The components that make the decisions of one entry.
     *
     * @param router selects the sidecar of an attempt
     * @param retryPolicy decides whether a failed attempt is retried
     * @param quota enforces the caps of the workspaces
     */
    record Policies(Router router, RetryPolicy retryPolicy, WorkspaceQuota quota) {}

    /**
     * The settings of one entry.
     *
     * @param deployment the deployment it belongs to
     * @param index its index in the deployment
     * @param maxWaitNanos the maximum time from the arrival of a call to its admission by a sidecar
     * @param candidates the sidecars that it can route to
     */
    record Settings(Deployment deployment, int index, long maxWaitNanos, List<CandidateInfo> candidates) {}

    Router router() {
        return router;
    }

    /**
     * Handles a call that a client has sent: fails it if the quota refuses it, and otherwise makes the first attempt.
     */
    void arrived(Call call) {
        EngineRequest request = call.arrival.request();
        int expectedOutputTokens =
                (int) (double) meanOutputTokens.getOrDefault(call.arrival.workspace(), INITIAL_MEAN_OUTPUT_TOKENS);
        Optional<CallFailure> quotaFailure = quota.tryAcquire(call.arrival.workspace(), expectedOutputTokens);
        if (quotaFailure.isPresent()) {
            listener.failed(call, quotaFailure.get());
            return;
        }
        retryPolicy.callStarted();
        call.expectedOutputTokens = expectedOutputTokens;
        call.routeRequest = new RouteRequest(
                SERVICE,
                ROUTE,
                Deployment.VERSION,
                deployment.zone(index),
                request.prefix(),
                request.promptTokens(),
                request.promptTokens() + expectedOutputTokens,
                Set.of());
        attempt(call);
    }

    /** Handles the completion of a call by its engine. */
    void finished(Call call) {
        double mean = meanOutputTokens.getOrDefault(call.arrival.workspace(), INITIAL_MEAN_OUTPUT_TOKENS);
        meanOutputTokens.put(
                call.arrival.workspace(), mean + OUTPUT_TOKENS_SMOOTHING_FACTOR * (call.generatedTokens - mean));
        long nanosPerToken = call.generatedTokens < 2
                ? 0
                : (call.lastTokenAtNanos - call.firstTokenAtNanos) / (call.generatedTokens - 1);
        CallResult result =
                CallResult.ok(call.firstTokenAtNanos - call.dispatchedAtNanos, nanosPerToken, call.generatedTokens);
        router.recordFinished(call.instance, call.routeRequest, result);
        quota.settle(call.arrival.workspace(), call.expectedOutputTokens, call.generatedTokens);
        listener.answered(call);
    }

    /** Handles an attempt that was refused or interrupted: retries it or fails the call. */
    void failed(Call call, CallFailure failure) {
        router.recordFinished(call.instance, call.routeRequest, CallResult.failed(failure.kind()));
        Duration remaining = Duration.ofNanos(call.arrival.timeNanos() + maxWaitNanos - events.nowNanos());
        boolean repeatable = true;
        AttemptFailure attemptFailure = new AttemptFailure(
                failure, repeatable, call.generatedTokens, call.attemptNumber, remaining, call.ranBefore);
        RetryDecision decision = retryPolicy.decide(attemptFailure);
        if (decision instanceof RetryDecision.Retry retry) {
            call.routeRequest = call.routeRequest.excluding(call.instance);
            call.attemptNumber++;
            call.ranBefore = attemptFailure.ranInAnyAttempt();
            events.schedule(retry.delay().toNanos(), () -> attempt(call));
        } else if (decision instanceof RetryDecision.GiveUp giveUp) {
            fail(call, giveUp.failure());
        }
    }

    private void fail(Call call, CallFailure failure) {
        quota.settle(call.arrival.workspace(), call.expectedOutputTokens, call.generatedTokens);
        listener.failed(call, failure);
    }

    private void attempt(Call call) {
        Optional<Candidate> choice = router.select(call.routeRequest, candidates);
        if (choice.isEmpty()) {
            CallFailure failure = CallFailure.of(
                    ErrorKind.UNAVAILABLE,
                    "no upstream left to try after " + (call.attemptNumber - 1) + " failed attempts");
            fail(call, failure.withRan(call.ranBefore));
            return;
        }
        call.instance = choice.get().instance();
        call.dispatchedAtNanos = events.nowNanos();
        listener.dispatched(call, call.arrival.timeNanos() + maxWaitNanos);
    }
}
