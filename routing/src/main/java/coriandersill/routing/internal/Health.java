package coriandersill.routing.internal;

import coriandersill.routing.CallResult;

/** The calls of one upstream on one route, older ones counting less. */
final class Health {
    /** When the current ejection ends; null before the first one. */
    Long ejectedUntil;

    /** Ejections in a row. */
    int ejections;

    private double calls;
    private double failures;
    private double timed;
    private double firstTokenSum;
    private double paced;
    private double betweenTokensSum;
    private long updatedAt;

    void record(CallResult result, long now, long halfLifeNanos) {
        decay(now, halfLifeNanos);
        calls++;
        if (result.kind() == CallResult.Kind.FAILED) {
            failures++;
        }
        if (result.firstTokenNanos() > 0) {
            timed++;
            firstTokenSum += result.firstTokenNanos();
        }
        if (result.betweenTokensNanos() > 0) {
            paced++;
            betweenTokensSum += result.betweenTokensNanos();
        }
    }

    /** Forgets the calls but not the ejections. */
    void clearCalls() {
        calls = 0;
        failures = 0;
        timed = 0;
        firstTokenSum = 0;
        paced = 0;
        betweenTokensSum = 0;
    }

    double calls() {
        return calls;
    }

    double failureRate() {
        return calls == 0 ? 0 : failures / calls;
    }

    /** Mean time to the first token in nanoseconds; 0 where unknown. */
    double firstToken() {
        return timed == 0 ? 0 : firstTokenSum / timed;
    }

    /** Mean time between tokens in nanoseconds; 0 where unknown. */
    double betweenTokens() {
        return paced == 0 ? 0 : betweenTokensSum / paced;
    }

    private void decay(long now, long halfLifeNanos) {
        double factor = calls == 0 ? 1 : Math.pow(0.5, (now - updatedAt) / (double) halfLifeNanos);
        updatedAt = now;
        calls *= factor;
        failures *= factor;
        timed *= factor;
        firstTokenSum *= factor;
        paced *= factor;
        betweenTokensSum *= factor;
    }
}
