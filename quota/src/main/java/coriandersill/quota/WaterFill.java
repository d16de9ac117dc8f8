package coriandersill.quota;

/** Weighted max-min fair division of a capacity, by water-filling. */
final class WaterFill {
    private WaterFill() {}

    /**
     * Returns the allocation for each demand: the whole demand, or its weighted share of what the satisfied demands
     * leave.
     */
    static double[] fill(double capacity, double[] demands, double[] weights) {
        double[] allocated = new double[demands.length];
        boolean[] satisfied = new boolean[demands.length];
        double remaining = capacity;
        boolean changed = true;
        while (changed) {
            changed = false;
            double unsatisfiedWeight = 0;
            for (int i = 0; i < demands.length; i++) {
                unsatisfiedWeight += satisfied[i] ? 0 : weights[i];
            }
            double level = unsatisfiedWeight > 0 ? remaining / unsatisfiedWeight : 0;
            for (int i = 0; i < demands.length; i++) {
                if (!satisfied[i] && demands[i] <= level * weights[i]) {
                    satisfied[i] = true;
                    allocated[i] = demands[i];
                    remaining -= demands[i];
                    changed = true;
                }
            }
            if (!changed) {
                for (int i = 0; i < demands.length; i++) {
                    allocated[i] = satisfied[i] ? allocated[i] : level * weights[i];
                }
            }
        }
        return allocated;
    }
}
