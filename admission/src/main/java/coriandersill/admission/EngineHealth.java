package coriandersill.admission;

/**
 * What the engine's own latency and signals allow: a limit on calls and a limit on memory. Guarded by the lock of
 * {@link PredictiveAdmission}.
 */
final class EngineHealth {
    private static final double UNSEEN_SMOOTHING = 0.2;

    private final AdmissionSettings settings;
    private final ColdStartLimit coldStart;
    private final ConcurrencyCeiling ceiling;
    private final UsableMemory memory;
    private final InterTokenBaseline baseline = new InterTokenBaseline();
    /** Memory that the engine uses beyond what admission counts: prompts estimated too short, blocks not full. */
    private double unseenTokens;

    /** When the upstream was first seen to work since it was last cold; of no use unless {@code known}. */
    private long coldSinceNanos;

    private boolean known;

    EngineHealth(AdmissionSettings settings, ConcurrencyCeiling ceiling, long nowNanos) {
        this.settings = settings;
        this.coldStart = ColdStartLimit.of(settings.coldConcurrency(), settings.maxConcurrency());
        this.ceiling = ceiling;
        this.memory = new UsableMemory(settings.memoryTokens(), nowNanos);
    }

    int limit() {
        return Math.min(coldStart.limit(), ceiling.ceiling());
    }

    boolean cold() {
        return coldStart.isCold();
    }

    long usableTokens(long nowNanos) {
        return Math.max(0, memory.tokens(nowNanos) - (long) unseenTokens);
    }

    /** Takes in a signal at a time when admission counts {@code heldTokens} as held. */
    void signal(EngineSignal signal, long heldTokens, long nowNanos) {
        if (signal.usedTokens() >= 0) {
            double unseen = Math.max(0, signal.usedTokens() - heldTokens);
            unseenTokens += UNSEEN_SMOOTHING * (unseen - unseenTokens);
        }
        if (signal.preemptions() > 0) {
            memory.preempted(nowNanos);
        }
    }

    /** Notes that a call's first token took {@code elapsedNanos}. */
    void started(Running call, long elapsedNanos, int running) {
        if (elapsedNanos > settings.slowFirstTokenNanos() && !call.overdue) {
            coldStart.recordSlow(running);
        }
    }

    /** Notes that a plain call was answered after {@code elapsedNanos}. */
    void answered(Running call, long elapsedNanos, long nowNanos, int running) {
        if (elapsedNanos > settings.slowFirstTokenNanos()) {
            started(call, elapsedNanos, running);
        } else if (warm(elapsedNanos, settings.warmAnswerNanos(), settings.firstTokenNanos(), nowNanos)) {
            coldStart.recordWarm(running);
        } else {
            coldStart.recordHealthy();
        }
    }

    /**
     * Notes the time between two tokens of a call.
     *
     * @param decodeOnly whether no prompt was being computed meanwhile
     */
    void gap(long nowNanos, long gapNanos, int running, boolean decodeOnly) {
        ceiling.recordInterTokenLatency(nowNanos, gapNanos, running);
        if (gapNanos > settings.slowGapNanos() || (decodeOnly && baseline.slow(running, gapNanos))) {
            slow(running);
            return;
        }
        if (decodeOnly) {
            baseline.learn(running, gapNanos);
        }
        boolean unproven = coldStart.isAtColdLimit();
        if (warm(gapNanos, settings.warmGapNanos(), settings.gapNanos(), nowNanos)) {
            coldStart.recordWarm(running);
        } else {
            coldStart.recordHealthy();
        }
        if (unproven && !coldStart.isAtColdLimit()) {
            baseline.forget();
        }
    }

    /** Notes a call that failed, or whose first token is overdue. */
    void slow(int running) {
        boolean unproven = coldStart.isAtColdLimit();
        coldStart.recordSlow(running);
        if (!unproven && coldStart.isAtColdLimit()) {
            known = false;
        }
    }

    /** Falls back to the cold limit. */
    void knownCold() {
        coldStart.reset();
        known = false;
    }

    /**
     * Whether a time shows a warm engine: at the cold limit it is as short as {@code warmNanos}, or the engine has had
     * long enough to warm up and keeps to its target; above it, it keeps to its target.
     */
    private boolean warm(long nanos, long warmNanos, long targetNanos, long nowNanos) {
        if (!known) {
            known = true;
            coldSinceNanos = nowNanos;
        }
        boolean longEnough = nowNanos - coldSinceNanos >= settings.warmUpNanos();
        return nanos <= (coldStart.isAtColdLimit() && !longEnough ? warmNanos : targetNanos);
    }
}
