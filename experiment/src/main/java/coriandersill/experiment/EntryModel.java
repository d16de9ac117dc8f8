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

/** One entry with its router and retry policy, in virtual time. */
final class EntryModel {
    private static final ServiceName SERVICE = ServiceName.of("scribe");
    private static final RouteName ROUTE = RouteName.of("completions");
    private static final double LENGTH_STEP = 0.05;
    private static final double FIRST_LENGTH = 300;

    private final EventQueue events;
    private final Router router;
    private final RetryPolicy retries;
    private final WorkspaceQuota quota;
    private final Deployment deployment;
    private final int index;
    private final long maxWaitNanos;
    private final EntryListener listener;
    private final Map<WorkspaceName, Double> meanLengths = new HashMap<>();
    private final List<CandidateInfo> candidates;

    EntryModel(EventQueue events, Policies decisions, Settings settings, EntryListener listener) {
        this.events = events;
        this.router = decisions.router();
        this.retries = decisions.retries();
        this.quota = decisions.quota();
        this.deployment = settings.deployment();
        this.index = settings.index();
        this.maxWaitNanos = settings.maxWaitNanos();
        this.candidates = settings.candidates();
        this.listener = listener;
    }

    /**
     * Who decides at one entry.
     *
     * @param router where calls go
     * @param retries what follows a failed attempt
     * @param quota whether the workspace is within its cap
     */
    record Policies(Router router, RetryPolicy retries, WorkspaceQuota quota) {}

    /**
     * What is special about one entry.
     *
     * @param deployment where it runs
     * @param index which entry it is
     * @param maxWaitNanos how long a call may wait for room after its arrival
     * @param candidates the sidecars that it knows
     */
    record Settings(Deployment deployment, int index, long maxWaitNanos, List<CandidateInfo> candidates) {}

    Router router() {
        return router;
    }

    void arrived(Call call) {
        EngineRequest request = call.arrival.request();
        int expected = (int) (double) meanLengths.getOrDefault(call.arrival.workspace(), FIRST_LENGTH);
        Optional<CallFailure> overCap = quota.tryAcquire(call.arrival.workspace(), expected);
        if (overCap.isPresent()) {
            listener.failed(call, overCap.get());
            return;
        }
        retries.callStarted();
        call.expectedTokens = expected;
        call.request = new RouteRequest(
                SERVICE,
                ROUTE,
                Deployment.VERSION,
                deployment.zone(index),
                request.prefix(),
                request.promptTokens(),
                request.promptTokens() + expected,
                Set.of());
        attempt(call);
    }

    /** Hears that the call ended whole at its engine. */
    void finished(Call call) {
        double mean = meanLengths.getOrDefault(call.arrival.workspace(), FIRST_LENGTH);
        meanLengths.put(call.arrival.workspace(), mean + LENGTH_STEP * (call.tokens - mean));
        long between = call.tokens < 2 ? 0 : (call.lastTokenAt - call.firstTokenAt) / (call.tokens - 1);
        CallResult result = CallResult.ok(call.firstTokenAt - call.dispatchedAt, between, call.tokens);
        router.finished(call.instance, call.request, result);
        quota.settle(call.arrival.workspace(), call.expectedTokens, call.tokens);
        listener.answered(call);
    }

    /** Hears that the attempt was refused or broke off. */
    void failed(Call call, CallFailure failure) {
        router.finished(call.instance, call.request, CallResult.failed(failure.kind()));
        Duration remaining = Duration.ofNanos(call.arrival.atNanos() + maxWaitNanos - events.now());
        AttemptFailure attempt =
                new AttemptFailure(failure, true, call.tokens, call.attempt, remaining, call.ranBefore);
        RetryDecision decision = retries.decide(attempt);
        if (decision instanceof RetryDecision.Retry retry) {
            call.request = call.request.excluding(call.instance);
            call.attempt++;
            call.ranBefore = attempt.ranInAnyAttempt();
            events.after(retry.delay().toNanos(), () -> attempt(call));
        } else if (decision instanceof RetryDecision.GiveUp giveUp) {
            fail(call, giveUp.answer());
        }
    }

    private void fail(Call call, CallFailure answer) {
        quota.settle(call.arrival.workspace(), call.expectedTokens, call.tokens);
        listener.failed(call, answer);
    }

    private void attempt(Call call) {
        Optional<Candidate> choice = router.select(call.request, candidates);
        if (choice.isEmpty()) {
            CallFailure failure = CallFailure.of(ErrorKind.UNAVAILABLE, "no upstream is left");
            fail(call, failure.withRan(call.ranBefore));
            return;
        }
        call.instance = choice.get().instance();
        call.dispatchedAt = events.now();
        listener.dispatch(call, call.arrival.atNanos() + maxWaitNanos);
    }
}
