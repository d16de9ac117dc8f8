package coriandersill.quota;

import coriandersill.core.WorkspaceName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Who keeps what when a capacity falls below the demand.
 *
 * <pre>{@code
 * ShedPlan plan = ShedPlan.of(capacityWithoutTheZone, demands);
 * plan.refused();
 * }</pre>
 *
 * @param shares the workspaces, the one that loses the largest part of its demand first
 * @param spare capacity that no one demands
 */
public record ShedPlan(List<Share> shares, double spare) {
    private static final double ROUNDING = 1e-9;

    /** Copies the list. */
    public ShedPlan {
        shares = List.copyOf(shares);
    }

    /**
     * What one workspace keeps.
     *
     * @param workspace the workspace
     * @param demand what it would use
     * @param kept what it may use
     */
    public record Share(WorkspaceName workspace, double demand, double kept) {

        /** The part of the demand that is refused, from 0 to 1. */
        public double refusedFraction() {
            return demand <= kept + ROUNDING * demand ? 0 : 1 - kept / demand;
        }
    }

    /**
     * Divides {@code capacity}, 0 or more, so that nobody gets more who has more for its weight than another in need.
     */
    public static ShedPlan of(double capacity, List<WorkspaceDemand> demands) {
        double[] amounts = demands.stream().mapToDouble(WorkspaceDemand::amount).toArray();
        double[] weights = demands.stream().mapToDouble(WorkspaceDemand::weight).toArray();
        double[] kept = WaterFill.fill(capacity, amounts, weights);
        List<Share> shares = new ArrayList<>();
        double spare = capacity;
        for (int i = 0; i < kept.length; i++) {
            shares.add(new Share(demands.get(i).workspace(), amounts[i], kept[i]));
            spare -= kept[i];
        }
        shares.sort(
                Comparator.comparingDouble(Share::refusedFraction).reversed().thenComparing(Share::workspace));
        return new ShedPlan(shares, Math.max(0, spare));
    }

    /** Returns those who lose something, the hardest hit first. */
    public List<Share> refused() {
        return shares.stream().filter(share -> share.refusedFraction() > 0).toList();
    }
}
