package coriandersill.admission;

/**
 * What the engine's own latency and signals allow: a limit on calls and a limit on memory. Guarded by the lock of
 * {@link PredictiveAdmission}.
 */
final class EngineHealth {
    private final AdmissionSettings settings;
    private final ColdStartLimit coldStart;
    private final ConcurrencyCeiling ceiling;
    private final UsableMemory memory;

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
        return coldStart.cold();
    }

    long usableTokens(long nowNanos) {
        return memory.tokens(nowNanos);
    }

    void signal(EngineSignal signal, long nowNanos) {
        if (signal.preemptions() > 0) {
            memory.preempted(nowNanos);
        }
    }

    /** Notes that a call's first token, or a plain call's answer, took {@code elapsedNanos}. */
    void answered(Running call, long elapsedNanos, int running) {
        if (elapsedNanos <= settings.firstTokenNanos()) {
            coldStart.proven(call.runningThen);
        } else if (elapsedNanos > settings.slowFirstTokenNanos() && !call.overdue) {
            coldStart.slow(running);
        }
    }

    void gap(long nowNanos, long gapNanos, int running) {
        ceiling.gap(nowNanos, gapNanos, running);
        if (gapNanos > settings.slowGapNanos()) {
            coldStart.slow(running);
        } else {
            coldStart.healthy();
        }
    }

    /** Notes a call that failed, or whose first token is overdue. */
    void slow(int running) {
        coldStart.slow(running);
    }

    void knownCold() {
        coldStart.reset();
    }
}
