package coriandersill.admission;

/** The state of one admitted request; guarded by the lock of {@link PredictiveAdmission}. */
final class Running {
    private static final int LEAST_STEP_TOKENS = 16;
    private static final int STEP_DIVISOR = 8;

    final AdmissionRequest request;
    final LengthKey key;
    final Account account;
    final long admittedNanos;

    long lastTokenNanos;
    int generated;
    /** Tokens up to which the estimator knows of this generation. */
    int observed;

    int nextProjection = LEAST_STEP_TOKENS;
    boolean overdue;
    double charged;
    MemoryProjection.Contribution contribution;

    Running(AdmissionRequest request, Account account, long admittedNanos) {
        this.request = request;
        this.key = LengthKey.of(request);
        this.account = account;
        this.admittedNanos = admittedNanos;
        this.lastTokenNanos = admittedNanos;
    }

    boolean plain() {
        return request.maxTokens() == 0;
    }

    long heldTokens() {
        return (long) request.promptTokens() + generated;
    }

    /** Sets when the projection is next due: often enough that it is at most an eighth out of date. */
    void projected() {
        nextProjection = generated + Math.max(LEAST_STEP_TOKENS, generated / STEP_DIVISOR);
    }
}
