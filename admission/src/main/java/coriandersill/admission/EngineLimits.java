package coriandersill.admission;

/**
 * Derives the limits on calls and on memory from the latency and the metrics of the engine. Guarded by the lock of
 * {@link PredictiveAdmission}.
 */
final class EngineLimits {
    /** The weight of a new report in the moving average of the uncounted memory. */
    private static final double UNCOUNTED_TOKENS_SMOOTHING_FACTOR = 0.2;

    private final AdmissionSettings settings;
    private final ColdStartLimit coldStart;
    private final ConcurrencyCeiling ceiling;
    private final UsableMemory memory;
    private final InterTokenBaseline baseline = new InterTokenBaseline();
    /** Memory used by the engine but not counted by admission: underestimated prompts, partially filled blocks. */
    private double uncountedTokens;

    /**
     * The time of the first sample that was not slow since the last reset to the cold limit; valid only if
     * {@link #warmUpStarted}.
     */
    private long warmUpStartNanos;

    private boolean warmUpStarted;

    EngineLimits(AdmissionSettings settings, ConcurrencyCeiling ceiling, long nowNanos) {
        this.settings = settings;
        this.coldStart = ColdStartLimit.of(settings.coldConcurrency(), settings.maxConcurrency());
        this.ceiling = ceiling;
        this.memory = new UsableMemory(settings.memoryTokens(), nowNanos);
    }

    int limit() {
        return Math.min(coldStart.limit(), ceiling.ceiling());
    }

    boolean isCold() {
        return coldStart.isCold();
    }

    long usableTokens(long nowNanos) {
        return Math.max(0, memory.tokens(nowNanos) - (long) uncountedTokens);
    }

    /** Records metrics received while admission counts {@code heldTokens} as held. */
    void recordMetrics(EngineMetrics metrics, long heldTokens, long nowNanos) {
        if (metrics.usedTokens() >= 0) {
            double uncounted = Math.max(0, metrics.usedTokens() - heldTokens);
            uncountedTokens += UNCOUNTED_TOKENS_SMOOTHING_FACTOR * (uncounted - uncountedTokens);
        }
        if (metrics.preemptions() > 0) {
            memory.recordPreemption(nowNanos);
        }
    }

    /**
     * Records that the first token of a call arrived after {@code elapsedNanos}. An overdue call was already recorded
     * as slow when it became overdue.
     */
    void recordFirstToken(RunningCall call, long elapsedNanos, int running) {
        if (elapsedNanos > settings.slowFirstTokenNanos() && !call.overdue) {
            coldStart.recordSlow(running);
        }
    }

    /** Records that a plain call completed after {@code elapsedNanos}. */
    void recordResponse(RunningCall call, long elapsedNanos, long nowNanos, int running) {
        if (elapsedNanos > settings.slowFirstTokenNanos()) {
            recordFirstToken(call, elapsedNanos, running);
        } else if (isWarm(elapsedNanos, settings.warmResponseNanos(), settings.firstTokenTargetNanos(), nowNanos)) {
            coldStart.recordWarm(running);
        } else {
            coldStart.recordHealthy();
        }
    }

    /**
     * Records the time between two tokens of a call.
     *
     * @param decodeOnly whether no prefill ran between the two tokens
     */
    void recordInterTokenLatency(long nowNanos, long interTokenNanos, int running, boolean decodeOnly) {
        ceiling.recordInterTokenLatency(nowNanos, interTokenNanos, running);
        if (interTokenNanos > settings.slowInterTokenNanos()
                || (decodeOnly && baseline.isSlow(running, interTokenNanos))) {
            recordSlow(running);
            return;
        }
        if (decodeOnly) {
            baseline.add(running, interTokenNanos);
        }
        boolean wasAtColdLimit = coldStart.isAtColdLimit();
        if (isWarm(interTokenNanos, settings.warmInterTokenNanos(), settings.interTokenTargetNanos(), nowNanos)) {
            coldStart.recordWarm(running);
        } else {
            coldStart.recordHealthy();
        }
        if (wasAtColdLimit && !coldStart.isAtColdLimit()) {
            // The samples so far were taken while the engine was cold.
            baseline.reset();
        }
    }

    /** Records a call that failed, whose first token is overdue or whose tokens arrive too slowly. */
    void recordSlow(int running) {
        boolean wasAtColdLimit = coldStart.isAtColdLimit();
        coldStart.recordSlow(running);
        if (!wasAtColdLimit && coldStart.isAtColdLimit()) {
            warmUpStarted = false;
        }
    }

    /** Resets the limit to the cold limit. */
    void resetToCold() {
        coldStart.reset();
        warmUpStarted = false;
    }

    /**
     * Returns whether a measured time indicates a warm engine. The time must be within {@code targetNanos}; at the cold
     * limit it must even be within {@code warmNanos} until {@link AdmissionSettings#warmUpNanos} have passed since the
     * first sample that was not slow.
     */
    private boolean isWarm(long measuredNanos, long warmNanos, long targetNanos, long nowNanos) {
        if (!warmUpStarted) {
            warmUpStarted = true;
            warmUpStartNanos = nowNanos;
        }
        boolean warmUpElapsed = nowNanos - warmUpStartNanos >= settings.warmUpNanos();
        return measuredNanos <= (coldStart.isAtColdLimit() && !warmUpElapsed ? warmNanos : targetNanos);
    }
}
