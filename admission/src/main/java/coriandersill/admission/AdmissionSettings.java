package coriandersill.admission;

/**
 * The settings of a {@link PredictiveAdmission}; times are in nanoseconds.
 *
 * @param memoryTokens the engine memory, in tokens; 0 for a plain service
 * @param standardDeviations how many standard deviations of the running set's projected memory to reserve above its
 *     mean
 * @param maxPrefillTokens the maximum total number of prompt tokens of the calls that wait for their first token
 * @param warmInterTokenNanos the time between tokens up to which an upstream at its cold limit is considered warm
 * @param warmUpNanos the time since the first sample that is not slow, after which samples at the cold limit are
 *     considered warm if they are within the targets
 * @param headroomFraction the fraction of the limits that a workspace over its share, as defined by
 *     {@link FairQueue#isOverShare}, leaves free for others
 */
record AdmissionSettings(
        int coldConcurrency,
        int maxConcurrency,
        long memoryTokens,
        double standardDeviations,
        long maxPrefillTokens,
        double headroomFraction,
        int maxWaiting,
        long maxWaitNanos,
        long firstTokenTargetNanos,
        long interTokenTargetNanos,
        long warmInterTokenNanos,
        long warmUpNanos) {

    /** The multiple of the target above which a time to first token is as slow as on a cold upstream. */
    private static final int SLOW_FIRST_TOKEN_FACTOR = 2;

    /** The multiple of the target above which a time between tokens is as slow as on a cold upstream. */
    private static final int SLOW_INTER_TOKEN_FACTOR = 4;

    /** A response of a plain call counts as warm if it takes at most the first-token target divided by this. */
    private static final int WARM_RESPONSE_DIVISOR = 8;

    long warmResponseNanos() {
        return firstTokenTargetNanos / WARM_RESPONSE_DIVISOR;
    }

    long slowFirstTokenNanos() {
        return SLOW_FIRST_TOKEN_FACTOR * firstTokenTargetNanos;
    }

    long slowInterTokenNanos() {
        return SLOW_INTER_TOKEN_FACTOR * interTokenTargetNanos;
    }
}
