package coriandersill.bench.rollout;

import java.util.Map;
import java.util.TreeMap;

/** A histogram of the times between tokens, weighted by the number of tokens. */
final class GapHistogram {
    private static final double MICROS_PER_SECOND = 1e6;

    private final TreeMap<Long, Double> tokensByGapMicros = new TreeMap<>();
    private double totalTokens;

    void add(double gapSeconds, double tokens) {
        tokensByGapMicros.merge(Math.round(gapSeconds * MICROS_PER_SECOND), tokens, Double::sum);
        totalTokens += tokens;
    }

    /** Returns the gap in seconds at a quantile; {@code probability} is from 0 to 1. The resolution is 1 µs. */
    double quantile(double probability) {
        double sum = 0;
        for (Map.Entry<Long, Double> entry : tokensByGapMicros.entrySet()) {
            sum += entry.getValue();
            if (sum >= probability * totalTokens) {
                return entry.getKey() / MICROS_PER_SECOND;
            }
        }
        return tokensByGapMicros.isEmpty() ? 0 : tokensByGapMicros.lastKey() / MICROS_PER_SECOND;
    }
}
