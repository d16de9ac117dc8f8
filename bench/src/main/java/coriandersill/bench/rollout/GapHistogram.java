package coriandersill.bench.rollout;

import java.util.Map;
import java.util.TreeMap;

/** A histogram of the times between tokens, weighted by the number of tokens. */
final class GapHistogram {
    private static final double MICROS_PER_SECOND = 1e6;

    private final TreeMap<Long, Double> tokens = new TreeMap<>();
    private double total;

    void add(double gapSeconds, double weight) {
        tokens.merge(Math.round(gapSeconds * MICROS_PER_SECOND), weight, Double::sum);
        total += weight;
    }

    /** Returns the gap in seconds at this quantile, from 0 to 1, with a resolution of 1 µs. */
    double percentile(double quantile) {
        double sum = 0;
        for (Map.Entry<Long, Double> entry : tokens.entrySet()) {
            sum += entry.getValue();
            if (sum >= quantile * total) {
                return entry.getKey() / MICROS_PER_SECOND;
            }
        }
        return tokens.isEmpty() ? 0 : tokens.lastKey() / MICROS_PER_SECOND;
    }
}
