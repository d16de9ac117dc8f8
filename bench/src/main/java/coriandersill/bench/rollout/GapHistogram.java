package coriandersill.bench.rollout;

import java.util.Map;
import java.util.TreeMap;

/** Times between tokens, weighted by how many tokens came at each. */
final class GapHistogram {
    private static final double MICROS = 1e6;

    private final TreeMap<Long, Double> tokens = new TreeMap<>();
    private double total;

    void add(double gapSeconds, double weight) {
        tokens.merge(Math.round(gapSeconds * MICROS), weight, Double::sum);
        total += weight;
    }

    /** Returns the gap in seconds that the given part of the tokens does not exceed. */
    double percentile(double part) {
        double sum = 0;
        for (Map.Entry<Long, Double> entry : tokens.entrySet()) {
            sum += entry.getValue();
            if (sum >= part * total) {
                return entry.getKey() / MICROS;
            }
        }
        return tokens.isEmpty() ? 0 : tokens.lastKey() / MICROS;
    }
}
