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
 * Admits by the memory that the running set is likely to reach, by the concurrency that the upstream has shown to bear,
 * and fairly between workspaces.
 *
 * <pre>{@code
 * PredictiveAdmission admission = PredictiveAdmission.builder(clock)
 *         .concurrency(4, 64)
 *         .memoryTokens(200_000)
 *         .build();
 * AdmissionDecision decision = admission.offer(request);
 * }</pre>
 *
 * <p>The caller calls {@link #expire()} at least every 20 milliseconds, and after the first token of a generation: room
 * that tokens or time have made is given out there and in {@link #finished}. A decision on a waiting request comes from
 * one of these two, once. Plain calls, those with {@code maxTokens} 0, take no memory and are otherwise alike.
 *
 * <p>Safe for use by many threads. Its one lock, of rank {@link LockRank#ADMISSION}, guards every table; nothing is
 * called out to under it but the given clock, estimator, ceiling and victim policy.
 */
public final class PredictiveAdmission implements AdmissionController {
    private static final int MAX_BYPASSED = 8;
    private static final int MAX_HEADS_TRIED = 4;

    private final RankedLock lock = RankedLock.of(LockRank.ADMISSION);
    private final MonotonicClock clock;
    private final AdmissionSettings settings;
    private final VictimPolicy victims;
    private final EngineHealth health;
    private final RunningSet running;
    private final FairQueue queue = new FairQueue();
    private final WaitForecast forecast = new WaitForecast();
    /** Decisions on waiting requests that the caller has not been told of. */
    private final List<AdmissionDecision> pending = new ArrayList<>();

    /**
     * The last token, end or admission: longer ago than a slow first token, with calls running, shows a cold engine.
     */
    private long lastProgressNanos;
    /** The last time at which a prompt was being computed. */
    private long lastPrefillNanos;

    private boolean draining;
    private int predecessorRunning;

    PredictiveAdmission(PredictiveAdmissionBuilder builder) {
        this.clock = builder.clock;
        this.settings = builder.settings();
        this.victims = builder.victimPolicy;
        this.health = new EngineHealth(settings, builder.ceiling(), clock.nanos());
        ServiceCost cost = new ServiceCost(settings.memoryTokens(), settings.maxConcurrency());
        this.lastPrefillNanos = clock.nanos();
        this.running = new RunningSet(builder.estimator, cost);
    }

    /** Returns a builder whose gate takes its time from {@code clock}. */
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
            Running call = running.get(id);
            if (call == null || tokens <= 0) {
                return;
            }
            long now = clock.nanos();
            long elapsed = now - call.lastTokenNanos;
            if (running.prefillTokens() > 0) {
                lastPrefillNanos = now;
            }
            if (call.generated == 0) {
                running.started(call);
                health.started(call, elapsed, running.size());
            } else {
                boolean decodeOnly = call.lastTokenNanos - lastPrefillNanos > 0;
                health.gap(now, elapsed / tokens, running.size(), decodeOnly);
            }
            call.lastTokenNanos = now;
            lastProgressNanos = now;
            running.generated(call, tokens);
        });
    }

    @Override
    public List<AdmissionDecision> finished(CallId id, Completion completion) {
        return lock.with(() -> {
            long now = clock.nanos();
            pending.removeIf(decision -> decision.id().equals(id));
            Running call = running.get(id);
            if (call == null) {
                queue.remove(id);
                return takePending();
            }
            lastProgressNanos = now;
            running.remove(call, completion);
            call.account.running--;
            call.account.lastSeenNanos = now;
            forecast.left(now);
            if (completion == Completion.FAILED) {
                health.slow(running.size() + 1);
            } else if (completion == Completion.FINISHED && call.plain()) {
                health.answered(call, now - call.admittedNanos, now, running.size() + 1);
            }
            admitWaiting(now);
            return takePending();
        });
    }

    @Override
    public List<AdmissionDecision> expire() {
        return lock.with(() -> {
            long now = clock.nanos();
            for (int i = running.overdue(now - settings.slowFirstTokenNanos()); i > 0; i--) {
                health.slow(running.size());
            }
            if (running.size() > 0 && now - lastProgressNanos > settings.slowFirstTokenNanos()) {
                health.knownCold();
                lastProgressNanos = now;
            }
            for (Account.Waiting expired : queue.removeExpired(now)) {
                refuse(expired.request(), waitOver(expired, now));
            }
            queue.forgetIdle(now);
            admitWaiting(now);
            return takePending();
        });
    }

    @Override
    public UpstreamLoad load() {
        return lock.with(() -> new UpstreamLoad(
                running.size(),
                queue.size(),
                health.limit(),
                health.cold(),
                settings.memoryTokens() == 0 ? 0 : running.peak(settings.deviations()),
                settings.memoryTokens()));
    }

    /** Takes in what the engine says about itself. */
    public void recordEngineSignal(EngineSignal signal) {
        lock.run(() -> health.signal(signal, running.heldTokens(), clock.nanos()));
    }

    /** Falls back to the cold limit at once: the upstream is known to have restarted. */
    public void upstreamRestarted() {
        lock.run(health::knownCold);
    }

    /**
     * Returns the generation to cancel at the engine because memory is about to run out, or nothing.
     *
     * <p>The caller cancels it and then calls {@link #requeue}, or {@link #finished} if it gives it up.
     */
    public Optional<CallId> selectVictim() {
        return lock.with(() -> {
            if (settings.memoryTokens() == 0 || running.heldTokens() <= settings.memoryTokens()) {
                return Optional.empty();
            }
            return victims.choose(running.generations()).map(RunningGeneration::id);
        });
    }

    /**
     * Puts a generation that has delivered nothing back to wait, with a new bound on its wait.
     *
     * @return whether it was admitted and had generated nothing; false changes nothing
     */
    public boolean requeue(CallId id) {
        return lock.with(() -> {
            Running call = running.get(id);
            if (call == null || call.generated > 0 || call.plain()) {
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

    /** Admits nothing any more, lets the running calls end, and returns the refusals of those that wait. */
    public List<AdmissionDecision> startDraining() {
        return lock.with(() -> {
            draining = true;
            for (Account.Waiting waiting : queue.removeAll()) {
                refuse(waiting.request(), CallFailure.of(ErrorKind.DRAINING, "this sidecar takes no new work"));
            }
            return takePending();
        });
    }

    /**
     * Leaves room for what an earlier sidecar of the same upstream still runs; 0 when it is gone.
     *
     * @param calls the calls that it runs, 0 or more
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
            admitted = running.size() + predecessorRunning < health.limit() && queue.size() > 0 && admitOne(now);
        }
    }

    /**
     * Admits the first request, in fair order, that fits; returns whether there was one. A workspace above its share
     * never passes one that is within its own.
     */
    private boolean admitOne(long now) {
        List<Account> order = queue.inOrder();
        boolean passing = false;
        for (int i = 0; i < Math.min(order.size(), MAX_HEADS_TRIED); i++) {
            Account account = order.get(i);
            AdmissionRequest request = account.waiting.first().request();
            boolean overShare = queue.overShare(account, health.limit(), health.usableTokens(now));
            RunningSet.Forecast forecast = running.forecast(request);
            if (!(passing && overShare) && fits(request, forecast, overShare, now)) {
                order.subList(0, i).forEach(passed -> passed.bypassed++);
                admit(account, request, forecast, now);
                return true;
            }
            passing |= !overShare;
            if (!overShare && account.bypassed >= MAX_BYPASSED) {
                return false;
            }
        }
        return false;
    }

    private boolean fits(AdmissionRequest request, RunningSet.Forecast forecast, boolean overShare, long now) {
        if (running.size() == 0) {
            return true;
        }
        double open = overShare ? 1 - settings.headroom() : 1;
        if (running.size() + predecessorRunning + 1 > Math.ceil(health.limit() * open)) {
            return false;
        }
        if (settings.memoryTokens() == 0 || request.maxTokens() == 0) {
            return true;
        }
        long prefill = running.prefillTokens();
        if (prefill > 0 && prefill + request.promptTokens() > settings.prefillTokens()) {
            return false;
        }
        return running.peakWith(forecast, settings.deviations()) <= health.usableTokens(now) * open;
    }

    private void admit(Account account, AdmissionRequest request, RunningSet.Forecast forecast, long now) {
        queue.remove(request.id());
        Running call = new Running(request, account, now);
        lastPrefillNanos = now;
        lastProgressNanos = now;
        running.add(call, forecast);
        queue.started(account, forecast.cost());
        pending.add(new AdmissionDecision.Admitted(request.id()));
    }

    private void refuse(AdmissionRequest request, CallFailure failure) {
        pending.add(new AdmissionDecision.Refused(request.id(), failure));
    }

    private CallFailure waitOver(Account.Waiting expired, long now) {
        if (expired.request().deadlineNanos() - now <= 0) {
            return CallFailure.of(ErrorKind.DEADLINE_EXCEEDED, "the deadline passed while the call waited for room");
        }
        return overloaded("no room within the longest wait");
    }

    private CallFailure overloaded(String reason) {
        Duration retryAfter = forecast.waitBehind(queue.size());
        return CallFailure.of(ErrorKind.OVERLOADED, reason).withRetryAfter(retryAfter);
    }

    /** Takes the decision on {@code id} out of the pending ones; it waits if there is none. */
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
