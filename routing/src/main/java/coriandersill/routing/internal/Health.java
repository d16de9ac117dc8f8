package coriandersill.routing.internal;

import coriandersill.routing.CallResult;

/** Exponentially decayed call statistics and the ejection state of one upstream on one route. */
final class Health {
    /** When the current or last ejection ends; null if there is none to recover from. */
    Long ejectedUntil;

    /** Number of consecutive ejections. */
    int ejections;

    private double calls;
    private double failures;
    private double firstTokenSamples;
    private double firstTokenSum;
    private double betweenTokensSamples;
    private double betweenTokensSum;
    private long updatedAt;

    void record(CallResult result, long now, long halfLifeNanos) {
        decay(now, halfLifeNanos);
        calls++;
        if (result.kind() == CallResult.Kind.FAILED) {
            failures++;
        }
        if (result.firstTokenNanos() > 0) {
            firstTokenSamples++;
            firstTokenSum += result.firstTokenNanos();
        }
        if (result.betweenTokensNanos() > 0) {
            betweenTokensSamples++;
            betweenTokensSum += result.betweenTokensNanos();
        }
    }

    /** Discards the call statistics but keeps the ejection state. */
    void resetStatistics() {
        calls = 0;
        failures = 0;
        firstTokenSamples = 0;
        firstTokenSum = 0;
        betweenTokensSamples = 0;
        betweenTokensSum = 0;
    }

    double calls() {
        return calls;
    }

    double failureRate() {
        return calls == 0 ? 0 : failures / calls;
    }

    /** Returns the mean time to the first token in nanoseconds; 0 if unknown. */
    double meanFirstTokenNanos() {
        return firstTokenSamples == 0 ? 0 : firstTokenSum / firstTokenSamples;
    }

    /** Returns the mean time between tokens in nanoseconds; 0 if unknown. */
    double meanBetweenTokensNanos() {
        return betweenTokensSamples == 0 ? 0 : betweenTokensSum / betweenTokensSamples;
    }

    private void decay(long now, long halfLifeNanos) {
        double factor = calls == 0 ? 1 : Math.pow(0.5, (now - updatedAt) / (double) halfLifeNanos);
        updatedAt = now;
        calls *= factor;
        failures *= factor;
        firstTokenSamples *= factor;
        firstTokenSum *= factor;
        betweenTokensSamples *= factor;
        betweenTokensSum *= factor;
    }
}
