package coriandersill.routing.internal;

import coriandersill.routing.CallResult;

/** Exponentially decayed call statistics and the ejection state of one upstream on one route. */
final class Health {
    /** When the current or last ejection ends; null if there is none to recover from. */
    Long ejectedUntilNanos;

    /** Number of consecutive ejections. */
    int ejections;

    private double calls;
    private double failures;
    private double firstTokenSamples;
    private double firstTokenSumNanos;
    private double betweenTokensSamples;
    private double betweenTokensSumNanos;
    private long updatedAtNanos;

    void record(CallResult result, long nowNanos, long halfLifeNanos) {
        decay(nowNanos, halfLifeNanos);
        calls++;
        if (result.kind() == CallResult.Kind.FAILED) {
            failures++;
        }
        if (result.firstTokenNanos() > 0) {
            firstTokenSamples++;
            firstTokenSumNanos += result.firstTokenNanos();
        }
        if (result.betweenTokensNanos() > 0) {
            betweenTokensSamples++;
            betweenTokensSumNanos += result.betweenTokensNanos();
        }
    }

    /** Discards the call statistics but keeps the ejection state. */
    void resetStatistics() {
        calls = 0;
        failures = 0;
        firstTokenSamples = 0;
        firstTokenSumNanos = 0;
        betweenTokensSamples = 0;
        betweenTokensSumNanos = 0;
    }

    double calls() {
        return calls;
    }

    double failureRate() {
        return calls == 0 ? 0 : failures / calls;
    }

    /** Returns the mean time to the first token in nanoseconds; 0 if unknown. */
    double meanFirstTokenNanos() {
        return firstTokenSamples == 0 ? 0 : firstTokenSumNanos / firstTokenSamples;
    }

    /** Returns the mean time between tokens in nanoseconds; 0 if unknown. */
    double meanBetweenTokensNanos() {
        return betweenTokensSamples == 0 ? 0 : betweenTokensSumNanos / betweenTokensSamples;
    }

    private void decay(long nowNanos, long halfLifeNanos) {
        double factor = calls == 0 ? 1 : Math.pow(0.5, (nowNanos - updatedAtNanos) / (double) halfLifeNanos);
        updatedAtNanos = nowNanos;
        calls *= factor;
        failures *= factor;
        firstTokenSamples *= factor;
        firstTokenSumNanos *= factor;
        betweenTokensSamples *= factor;
        betweenTokensSumNanos *= factor;
    }
}
