package coriandersill.routing;

import coriandersill.core.InstanceId;

/**
 * What a generation is expected to experience at an engine.
 *
 * <p>Times are given as multiples of what the caller allows, so that they need no units; 0 where either is unknown.
 *
 * @param costTokens the expected time to the first event and the steps of the batch, as the time in which an engine of
 *     the usual pace reads this many prompt tokens
 * @param firstEventRatio the expected time to the first event, in relation to the target
 * @param pauseRatio the expected longest pause, in relation to the longest one that is on time
 * @param endRatio the expected time to the end, in relation to the time left
 */
record CompletionEstimate(double costTokens, double firstEventRatio, double pauseRatio, double endRatio) {
    /** An engine reads about this many prompt tokens in the time of a decoding step. */
    private static final double PROMPT_TOKENS_PER_STEP = 100;

    /** The part of the time to the first event that may pass without risk; reports are too old to know better. */
    private static final double FREE_RATIO = 0.5;

    /**
     * Returns the estimate for a candidate that is not known to hold a part of the prompt.
     *
     * @param callCostTokens the cost of each generation in flight, in prompt tokens
     */
    static CompletionEstimate of(
            Candidate candidate, GenerationDemand demand, PaceSnapshot paces, double callCostTokens) {
        return of(candidate, demand, paces, callCostTokens, 0);
    }

    /**
     * Returns the estimate for a candidate.
     *
     * @param callCostTokens the cost of each generation in flight, in prompt tokens
     * @param savedTokens the prompt tokens that it is expected not to read
     */
    static CompletionEstimate of(
            Candidate candidate,
            GenerationDemand demand,
            PaceSnapshot paces,
            double callCostTokens,
            double savedTokens) {
        InstanceId instance = candidate.instance();
        double pace = paces.relative(instance);
        int batch = candidate.inFlight() + candidate.otherEntriesInFlight();
        double tokensToRead = candidate.pendingPromptTokens() + Math.max(0, demand.promptTokens() - savedTokens);
        double costTokens = pace * (tokensToRead + callCostTokens * batch);
        double stepNanos = paces.stepNanos() * pace * (1 + paces.batchGrowth() * (batch + 1));
        double chunks = tokensToRead / PROMPT_TOKENS_PER_STEP;
        // Each chunk of a prompt is read beside one decoding step of the batch.
        double firstEventNanos = chunks * (paces.stepNanos() * pace + stepNanos) * paces.meanRatio();
        double endNanos = firstEventNanos + demand.outputTokens() * stepNanos * paces.meanRatio();
        double pauseNanos = isOneEvent(demand) ? 0 : stepNanos * demand.tokensPerEvent() * paces.pauseRatio();
        return new CompletionEstimate(
                costTokens,
                firstEventNanos / Math.max(1, demand.targetLatency().toNanos()),
                demand.maxEventGap()
                        .map(gap -> pauseNanos / Math.max(1, gap.toNanos()))
                        .orElse(0.0),
                endNanos / Math.max(1, demand.timeLeft().toNanos()));
    }

    private static boolean isOneEvent(GenerationDemand demand) {
        return demand.outputTokens() <= demand.tokensPerEvent();
    }

    /**
     * Returns how many of the caller's expectations the engine is expected to miss: the deadline counts twice, and a
     * first event that takes more than half of its time counts by how much of the other half it takes.
     */
    double missed() {
        double firstEvent = Math.max(0, Math.min(1, (firstEventRatio - FREE_RATIO) / (1 - FREE_RATIO)));
        return firstEvent + (pauseRatio > 1 ? 1 : 0) + (endRatio > 1 ? 2 : 0);
    }
}
