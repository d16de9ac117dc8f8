package coriandersill.quota;

import coriandersill.core.WorkspaceName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * How much of its demand each workspace keeps when capacity falls below the total demand.
 *
 * <pre>{@code
 * ShedPlan plan = ShedPlan.of(capacityWithoutTheZone, demands);
 * plan.refused();
 * }</pre>
 *
 * @param shares the shares of the workspaces, in descending order of the fraction of demand that is refused
 * @param spare the capacity that exceeds the total demand
 */
public record ShedPlan(List<Share> shares, double spare) {
    private static final double RELATIVE_TOLERANCE = 1e-9;

    /** Makes an immutable copy of the list. */
    public ShedPlan {
        shares = List.copyOf(shares);
    }

    /**
     * The share of one workspace.
     *
     * @param workspace the workspace
     * @param demand the capacity that it would use
     * @param kept the capacity that it may use
     */
    public record Share(WorkspaceName workspace, double demand, double kept) {

        /** The fraction of the demand that is refused, from 0 to 1. */
        public double refusedFraction() {
            return demand <= kept + RELATIVE_TOLERANCE * demand ? 0 : 1 - kept / demand;
        }
    }

    /**
     * Divides {@code capacity}, at least 0, by weighted max-min fairness: no workspace keeps more relative to its
     * weight than one whose demand is partly refused.
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

    /** Returns the shares with refused demand, in descending order of the refused fraction. */
    public List<Share> refused() {
        return shares.stream().filter(share -> share.refusedFraction() > 0).toList();
    }
}
