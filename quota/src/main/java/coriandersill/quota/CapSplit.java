package coriandersill.quota;

import java.util.Arrays;

/** Divides a pool between entries by what they demand; the parts never exceed the pool together. */
@FunctionalInterface
public interface CapSplit {

    /** Returns the part of each entry, in the order of {@code demands}. */
    double[] split(double pool, double[] demands);

    /** Returns the split that gives every entry the same, whatever it demands. */
    static CapSplit equal() {
        return (pool, demands) -> {
            double[] parts = new double[demands.length];
            Arrays.fill(parts, pool / demands.length);
            return parts;
        };
    }

    /** Returns the split that meets demands as far as all can be met alike, and leaves the rest undivided. */
    static CapSplit byDemand() {
        return (pool, demands) -> {
            double[] weights = new double[demands.length];
            Arrays.fill(weights, 1);
            return WaterFill.fill(pool, demands, weights);
        };
    }
}
