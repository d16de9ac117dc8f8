package coriandersill.admission;

/** The state of one admitted request; guarded by the lock of {@link PredictiveAdmission}. */
final class RunningCall {
    private static final int MIN_PROJECTION_STEP_TOKENS = 16;
    private static final int PROJECTION_STEP_DIVISOR = 8;

    final AdmissionRequest request;
    final LengthKey key;
    final Account account;
    final long admittedNanos;

    long lastTokenNanos;
    int generatedTokens;
    /** Number of tokens up to which this generation has been reported to the estimator. */
    int observedTokens;

    int nextProjectionTokens = MIN_PROJECTION_STEP_TOKENS;
    /** Whether neither a first token nor a response arrived within the slow first-token time. */
    boolean overdue;

    double chargedCost;
    MemoryProjection.Contribution contribution;

    RunningCall(AdmissionRequest request, Account account, long admittedNanos) {
        this.request = request;
        this.key = LengthKey.of(request);
        this.account = account;
        this.admittedNanos = admittedNanos;
        this.lastTokenNanos = admittedNanos;
    }

    boolean isPlain() {
        return request.maxTokens() == 0;
    }

    long heldTokens() {
        return (long) request.promptTokens() + generatedTokens;
    }

    /**
     * Schedules the next projection for when the generation has grown by an eighth of its current length, or by
     * {@link #MIN_PROJECTION_STEP_TOKENS} if that is more. This limits how outdated the current projection becomes.
     */
    void scheduleNextProjection() {
        nextProjectionTokens =
                generatedTokens + Math.max(MIN_PROJECTION_STEP_TOKENS, generatedTokens / PROJECTION_STEP_DIVISOR);
    }
}
