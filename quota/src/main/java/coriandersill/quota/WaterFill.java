package coriandersill.quota;

/** Weighted max-min division of a capacity. */
final class WaterFill {
    private WaterFill() {}

    /** Returns what each demand gets: all of it, or its weight's part of what the satisfied ones leave. */
    static double[] fill(double capacity, double[] demands, double[] weights) {
        double[] given = new double[demands.length];
        boolean[] satisfied = new boolean[demands.length];
        double left = capacity;
        boolean changed = true;
        while (changed) {
            changed = false;
            double weight = 0;
            for (int i = 0; i < demands.length; i++) {
                weight += satisfied[i] ? 0 : weights[i];
            }
            double level = weight > 0 ? left / weight : 0;
            for (int i = 0; i < demands.length; i++) {
                if (!satisfied[i] && demands[i] <= level * weights[i]) {
                    satisfied[i] = true;
                    given[i] = demands[i];
                    left -= demands[i];
                    changed = true;
                }
            }
            if (!changed) {
                for (int i = 0; i < demands.length; i++) {
                    given[i] = satisfied[i] ? given[i] : level * weights[i];
                }
            }
        }
        return given;
    }
}
