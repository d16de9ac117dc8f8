package coriandersill.admission;

/**
 * What a {@link PredictiveAdmission} was built with, times in nanoseconds.
 *
 * @param memoryTokens engine memory; 0 for a plain service
 * @param deviations standard deviations of the running set's memory that are kept free
 * @param prefillTokens the most prompt tokens that await their first token together
 * @param warmGapNanos time between tokens by which an upstream shows at its cold limit that it is warm
 * @param warmUpNanos working time after which any upstream is warm
 * @param headroom the share of the limits that a workspace above its share leaves to others
 */
record AdmissionSettings(
        int coldConcurrency,
        int maxConcurrency,
        long memoryTokens,
        double deviations,
        long prefillTokens,
        double headroom,
        int maxWaiting,
        long maxWaitNanos,
        long firstTokenNanos,
        long gapNanos,
        long warmGapNanos,
        long warmUpNanos) {

    /** The factor over a target time from which on a call is as slow as on a cold upstream. */
    private static final int SLOW_FIRST_TOKEN = 2;

    private static final int SLOW_GAP = 4;

    private static final int WARM_ANSWER_DIVISOR = 8;

    long warmAnswerNanos() {
        return firstTokenNanos / WARM_ANSWER_DIVISOR;
    }

    long slowFirstTokenNanos() {
        return SLOW_FIRST_TOKEN * firstTokenNanos;
    }

    long slowGapNanos() {
        return SLOW_GAP * gapNanos;
    }
}
