package coriandersill.quota;

import java.util.Arrays;

/**
 * Divides a pool of capacity among entries according to their demands; the shares never add up to more than the pool.
 */
@FunctionalInterface
public interface CapSplit {

    /** Returns the share of each entry, in the order of {@code demands}. */
    double[] split(double pool, double[] demands);

    /** Returns a split into equal shares, regardless of the demands. */
    static CapSplit equal() {
        return (pool, demands) -> {
            double[] shares = new double[demands.length];
            Arrays.fill(shares, pool / demands.length);
            return shares;
        };
    }

    /** Returns a max-min fair split of the demands; capacity that exceeds the total demand is left unassigned. */
    static CapSplit byDemand() {
        return (pool, demands) -> {
            double[] weights = new double[demands.length];
            Arrays.fill(weights, 1);
            return WaterFill.fill(pool, demands, weights);
        };
    }
}
