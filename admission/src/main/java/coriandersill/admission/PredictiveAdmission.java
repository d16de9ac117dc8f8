package coriandersill.admission;

import coriandersill.core.CallFailure;
import coriandersill.core.CallId;
import coriandersill.core.ErrorKind;
import coriandersill.core.MonotonicClock;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Admits requests based on the predicted peak memory of the running set and on the concurrency that the upstream has
 * proven to sustain, fairly between workspaces.
 *
 * <pre>{@code
 * PredictiveAdmission admission = PredictiveAdmission.builder(clock)
 *         .concurrency(4, 64)
 *         .memoryTokens(200_000)
 *         .build();
 * AdmissionDecision decision = admission.offer(request);
 * }</pre>
 *
 * <p>The caller must call {@link #processQueue} at least every 20 milliseconds, and after the first token of a
 * generation, because {@link #generated} and the passing of time do not admit waiting requests by themselves. The
 * decision on a waiting request is returned exactly once, by {@link #processQueue}, {@link #finished} or
 * {@link #startDraining}; none is returned if {@link #finished} is called for the request before then. Plain calls,
 * those with {@code maxTokens} 0, use no memory and are otherwise treated alike.
 *
 * <p>Thread-safe. A single lock, of rank {@link LockRank#ADMISSION}, guards all state; the only code of the caller that
 * runs under it is the given clock, estimator, ceiling and victim policy.
 */
public final class PredictiveAdmission implements AdmissionController {
    /**
     * The number of admissions that may bypass the first waiting request of a workspace within its share. After that,
     * accounts later in the order have to wait, so that a large request does not starve.
     */
    private static final int MAX_BYPASS_COUNT = 8;
    /** The number of accounts, in fair order, whose first request is considered for an admission. */
    private static final int MAX_ACCOUNTS_TRIED = 4;

    private final RankedLock lock = RankedLock.of(LockRank.ADMISSION);
    private final MonotonicClock clock;
    private final AdmissionSettings settings;
    private final VictimPolicy victimPolicy;
    private final EngineLimits limits;
    private final RunningSet running;
    private final FairQueue queue = new FairQueue();
    private final WaitForecast waitForecast = new WaitForecast();
    /** Decisions on waiting requests that have not been returned to the caller yet. */
    private final List<AdmissionDecision> pending = new ArrayList<>();

    /**
     * Time of the last token, completion or admission. If calls are running and this is longer ago than the slow
     * first-token time, the engine is considered cold.
     */
    private long lastProgressNanos;
    /** The last time at which a prefill was running. */
    private long lastPrefillNanos;

    private boolean draining;
    private int predecessorRunning;

    PredictiveAdmission(PredictiveAdmissionBuilder builder) {
        this.clock = builder.clock;
        this.settings = builder.settings();
        this.victimPolicy = builder.victimPolicy;
        this.limits = new EngineLimits(settings, builder.ceiling(), clock.nanos());
        ServiceCost cost = new ServiceCost(settings.memoryTokens(), settings.maxConcurrency());
        this.lastPrefillNanos = clock.nanos();
        this.running = new RunningSet(builder.estimator, cost);
    }

    /** Returns a builder for a controller that uses {@code clock}. */
    public static PredictiveAdmissionBuilder builder(MonotonicClock clock) {
        return new PredictiveAdmissionBuilder(clock);
    }

    @Override
    public AdmissionDecision offer(AdmissionRequest request) {
        return lock.with(() -> {
            long now = clock.nanos();
            Optional<CallFailure> refusal = refusal(request, now);
            if (refusal.isPresent()) {
                return new AdmissionDecision.Refused(request.id(), refusal.get());
            }
            long waitUntil = Math.min(request.deadlineNanos() - now, settings.maxWaitNanos()) + now;
            queue.add(queue.account(request, now), request, waitUntil);
            admitWaiting(now);
            if (queue.size() > settings.maxWaiting()) {
                refuse(queue.removeExcess().request(), overloaded("the queue is full"));
            }
            return decisionOn(request.id());
        });
    }

    @Override
    public void generated(CallId id, int tokens) {
        lock.run(() -> {
            RunningCall call = running.get(id);
            if (call == null || tokens <= 0) {
                return;
            }
            long now = clock.nanos();
            long elapsed = now - call.lastTokenNanos;
            if (running.prefillTokens() > 0) {
                lastPrefillNanos = now;
            }
            if (call.generatedTokens == 0) {
                running.recordFirstToken(call);
                limits.recordFirstToken(call, elapsed, running.size());
            } else {
                boolean decodeOnly = call.lastTokenNanos - lastPrefillNanos > 0;
                limits.recordInterTokenLatency(now, elapsed / tokens, running.size(), decodeOnly);
            }
            call.lastTokenNanos = now;
            lastProgressNanos = now;
            running.recordTokens(call, tokens);
        });
    }

    @Override
    public List<AdmissionDecision> finished(CallId id, Completion completion) {
        return lock.with(() -> {
            long now = clock.nanos();
            pending.removeIf(decision -> decision.id().equals(id));
            RunningCall call = running.get(id);
            if (call == null) {
                queue.remove(id);
                return takePending();
            }
            lastProgressNanos = now;
            running.remove(call, completion);
            call.account.running--;
            call.account.lastSeenNanos = now;
            waitForecast.recordDeparture(now);
            if (completion == Completion.FAILED) {
                limits.recordSlow(running.size() + 1);
            } else if (completion == Completion.FINISHED && call.isPlain()) {
                limits.recordResponse(call, now - call.admittedNanos, now, running.size() + 1);
            }
            admitWaiting(now);
            return takePending();
        });
    }

    @Override
    public List<AdmissionDecision> processQueue() {
        return lock.with(() -> {
            long now = clock.nanos();
            for (int i = running.markOverdue(now - settings.slowFirstTokenNanos()); i > 0; i--) {
                limits.recordSlow(running.size());
            }
            if (running.size() > 0 && now - lastProgressNanos > settings.slowFirstTokenNanos()) {
                limits.resetToCold();
                lastProgressNanos = now;
            }
            for (Account.WaitingRequest expired : queue.removeExpired(now)) {
                refuse(expired.request(), waitExpiredFailure(expired, now));
            }
            queue.removeIdleAccounts(now);
            admitWaiting(now);
            return takePending();
        });
    }

    @Override
    public UpstreamLoad load() {
        return lock.with(() -> new UpstreamLoad(
                running.size(),
                queue.size(),
                limits.limit(),
                limits.isCold(),
                settings.memoryTokens() == 0 ? 0 : running.peak(settings.standardDeviations()),
                settings.memoryTokens()));
    }

    /** Records metrics reported by the engine. */
    public void recordEngineMetrics(EngineMetrics metrics) {
        lock.run(() -> limits.recordMetrics(metrics, running.heldTokens(), clock.nanos()));
    }

    /** Resets the limit to the cold limit because the upstream has restarted. */
    public void upstreamRestarted() {
        lock.run(limits::resetToCold);
    }

    /**
     * Returns the generation to cancel at the engine if the running calls hold more than the engine memory, or empty.
     *
     * <p>The caller cancels it and then calls {@link #requeue}, or {@link #finished} if it is not to be run again.
     */
    public Optional<CallId> selectVictim() {
        return lock.with(() -> {
            if (settings.memoryTokens() == 0 || running.heldTokens() <= settings.memoryTokens()) {
                return Optional.empty();
            }
            return victimPolicy.choose(running.generations()).map(RunningGeneration::id);
        });
    }

    /**
     * Puts an admitted generation that has not generated any tokens back into the queue, with a new maximum wait.
     *
     * @return whether the generation was requeued; false, without any change, if it is not running, is a plain call or
     *     has generated tokens
     */
    public boolean requeue(CallId id) {
        return lock.with(() -> {
            RunningCall call = running.get(id);
            if (call == null || call.generatedTokens > 0 || call.isPlain()) {
                return false;
            }
            long now = clock.nanos();
            running.remove(call, Completion.CANCELLED);
            call.account.running--;
            long waitUntil = Math.min(call.request.deadlineNanos() - now, settings.maxWaitNanos()) + now;
            queue.add(call.account, call.request, waitUntil);
            return true;
        });
    }

    /**
     * Stops admitting requests, refuses the waiting ones and lets running calls end; returns the refusals together with
     * the other decisions that have not been returned yet.
     */
    public List<AdmissionDecision> startDraining() {
        return lock.with(() -> {
            draining = true;
            for (Account.WaitingRequest waiting : queue.removeAll()) {
                refuse(waiting.request(), CallFailure.of(ErrorKind.DRAINING, "this sidecar takes no new work"));
            }
            return takePending();
        });
    }

    /**
     * Reserves concurrency for calls still running under an earlier controller of the same upstream: one that was
     * replaced, or that of an earlier sidecar.
     *
     * @param calls the number of these calls; 0 once they have ended
     */
    public void reserveForPredecessor(int calls) {
        if (calls < 0) {
            throw new IllegalArgumentException("calls: expected 0 or more, found " + calls);
        }
        lock.run(() -> predecessorRunning = calls);
    }

    private Optional<CallFailure> refusal(AdmissionRequest request, long now) {
        if (draining) {
            return Optional.of(CallFailure.of(ErrorKind.DRAINING, "this sidecar takes no new work"));
        }
        if (running.get(request.id()) != null || queue.contains(request.id())) {
            return Optional.of(CallFailure.of(ErrorKind.FENCED, "another attempt of this call is here already"));
        }
        if (request.deadlineNanos() - now <= 0) {
            return Optional.of(CallFailure.of(ErrorKind.DEADLINE_EXCEEDED, "the deadline passed before admission"));
        }
        if (settings.memoryTokens() > 0 && request.promptTokens() >= settings.memoryTokens()) {
            return Optional.of(CallFailure.of(
                    ErrorKind.INVALID_REQUEST,
                    "prompt: expected fewer than " + settings.memoryTokens() + " tokens, found "
                            + request.promptTokens()));
        }
        return Optional.empty();
    }

    private void admitWaiting(long now) {
        boolean admitted = !draining;
        while (admitted) {
            admitted = running.size() + predecessorRunning < limits.limit() && queue.size() > 0 && admitOne(now);
        }
    }

    /**
     * Admits the first request, in fair order, that fits; returns whether there was one. A workspace over its share
     * never bypasses one that is within its share.
     */
    private boolean admitOne(long now) {
        List<Account> order = queue.accountsInFairOrder();
        boolean bypassesAccountWithinShare = false;
        for (int i = 0; i < Math.min(order.size(), MAX_ACCOUNTS_TRIED); i++) {
            Account account = order.get(i);
            AdmissionRequest request = account.waiting.first().request();
            boolean overShare = queue.isOverShare(account, limits.limit(), limits.usableTokens(now));
            RunningSet.Forecast forecast = running.forecast(request);
            if (!(bypassesAccountWithinShare && overShare) && fits(request, forecast, overShare, now)) {
                order.subList(0, i).forEach(bypassed -> bypassed.bypassCount++);
                admit(account, request, forecast, now);
                return true;
            }
            bypassesAccountWithinShare |= !overShare;
            if (!overShare && account.bypassCount >= MAX_BYPASS_COUNT) {
                return false;
            }
        }
        return false;
    }

    private boolean fits(AdmissionRequest request, RunningSet.Forecast forecast, boolean overShare, long now) {
        if (running.size() == 0) {
            // Waiting would not free any capacity.
            return true;
        }
        double availableFraction = overShare ? 1 - settings.headroomFraction() : 1;
        if (running.size() + predecessorRunning + 1 > Math.ceil(limits.limit() * availableFraction)) {
            return false;
        }
        if (settings.memoryTokens() == 0 || request.maxTokens() == 0) {
            return true;
        }
        long prefill = running.prefillTokens();
        if (prefill > 0 && prefill + request.promptTokens() > settings.maxPrefillTokens()) {
            return false;
        }
        return running.peakWith(forecast, settings.standardDeviations())
                <= limits.usableTokens(now) * availableFraction;
    }

    private void admit(Account account, AdmissionRequest request, RunningSet.Forecast forecast, long now) {
        queue.remove(request.id());
        RunningCall call = new RunningCall(request, account, now);
        lastPrefillNanos = now;
        lastProgressNanos = now;
        running.add(call, forecast);
        queue.recordAdmission(account, forecast.cost());
        pending.add(new AdmissionDecision.Admitted(request.id()));
    }

    private void refuse(AdmissionRequest request, CallFailure failure) {
        pending.add(new AdmissionDecision.Refused(request.id(), failure));
    }

    private CallFailure waitExpiredFailure(Account.WaitingRequest expired, long now) {
        if (expired.request().deadlineNanos() - now <= 0) {
            return CallFailure.of(ErrorKind.DEADLINE_EXCEEDED, "the deadline passed while the call waited for room");
        }
        return overloaded("no room within the longest wait");
    }

    private CallFailure overloaded(String reason) {
        Duration retryAfter = waitForecast.expectedWait(queue.size());
        return CallFailure.of(ErrorKind.OVERLOADED, reason).withRetryAfter(retryAfter);
    }

    /** Removes and returns the pending decision on {@code id}; without one, the request waits. */
    private AdmissionDecision decisionOn(CallId id) {
        for (int i = pending.size() - 1; i >= 0; i--) {
            if (pending.get(i).id().equals(id)) {
                return pending.remove(i);
            }
        }
        return new AdmissionDecision.Waiting(id);
    }

    private List<AdmissionDecision> takePending() {
        if (pending.isEmpty()) {
            return List.of();
        }
        List<AdmissionDecision> taken = List.copyOf(pending);
        pending.clear();
        return taken;
    }
}
