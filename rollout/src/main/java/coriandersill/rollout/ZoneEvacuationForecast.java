package coriandersill.rollout;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.WorkspaceName;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Predicts the effect of taking availability zones out of service: the load of the remaining zones and the requests
 * that would be refused.
 *
 * <pre>{@code
 * ZoneEvacuationForecast forecast = ZoneEvacuationForecast.of(zones, demands, Set.of(AvailabilityZone.of("shewa-a")));
 * if (!forecast.fits()) { ... }
 * }</pre>
 *
 * <p>Demand beyond the remaining capacity is shed by weighted max-min fairness: each workspace keeps its demand up to
 * its share, and unused capacity is distributed among the others by weight.
 *
 * @param capacity the number of running requests that the remaining zones can serve
 * @param load the number of running requests in each remaining zone, distributed by capacity
 * @param refused the number of running requests refused per workspace; only workspaces with refused requests
 */
public record ZoneEvacuationForecast(
        double capacity, Map<AvailabilityZone, Double> load, Map<WorkspaceName, Double> refused) {
    private static final double EPSILON = 1e-9;

    /** Copies the maps. */
    public ZoneEvacuationForecast {
        load = Map.copyOf(load);
        refused = Map.copyOf(refused);
    }

    /**
     * The capacity of a zone.
     *
     * @param zone the zone
     * @param capacity the number of running requests that its upstreams can serve, 0 or more
     */
    public record ZoneCapacity(AvailabilityZone zone, double capacity) {}

    /**
     * The demand of a workspace.
     *
     * @param workspace the workspace
     * @param weight its weight in the fair share, above 0
     * @param demand the number of its running requests now, 0 or more
     */
    public record WorkspaceDemand(WorkspaceName workspace, double weight, double demand) {}

    /** Returns the forecast for taking the {@code leaving} zones out of service. */
    public static ZoneEvacuationForecast of(
            Collection<ZoneCapacity> zones, Collection<WorkspaceDemand> demands, Set<AvailabilityZone> leaving) {
        double capacity = zones.stream()
                .filter(zone -> !leaving.contains(zone.zone()))
                .mapToDouble(ZoneCapacity::capacity)
                .sum();
        Map<WorkspaceName, Double> shares = maxMinShares(demands, capacity);
        Map<WorkspaceName, Double> refused = new HashMap<>();
        double served = 0;
        for (WorkspaceDemand demand : demands) {
            double share = shares.get(demand.workspace());
            served += share;
            if (demand.demand() - share > EPSILON) {
                refused.put(demand.workspace(), demand.demand() - share);
            }
        }
        Map<AvailabilityZone, Double> load = new HashMap<>();
        for (ZoneCapacity zone : zones) {
            if (!leaving.contains(zone.zone())) {
                load.put(zone.zone(), capacity == 0 ? 0 : served * zone.capacity() / capacity);
            }
        }
        return new ZoneEvacuationForecast(capacity, load, refused);
    }

    /** Whether the remaining zones can serve all demand. */
    public boolean fits() {
        return refused.isEmpty();
    }

    private static Map<WorkspaceName, Double> maxMinShares(Collection<WorkspaceDemand> demands, double capacity) {
        Map<WorkspaceName, Double> shares = new HashMap<>();
        List<WorkspaceDemand> unsatisfied = new ArrayList<>(demands);
        double remaining = capacity;
        while (!unsatisfied.isEmpty()) {
            double sharePerWeight = remaining
                    / unsatisfied.stream().mapToDouble(WorkspaceDemand::weight).sum();
            List<WorkspaceDemand> satisfied = unsatisfied.stream()
                    .filter(demand -> demand.demand() <= sharePerWeight * demand.weight() + EPSILON)
                    .toList();
            if (satisfied.isEmpty()) {
                unsatisfied.forEach(demand -> shares.put(demand.workspace(), sharePerWeight * demand.weight()));
                return shares;
            }
            for (WorkspaceDemand demand : satisfied) {
                shares.put(demand.workspace(), demand.demand());
                remaining = Math.max(0, remaining - demand.demand());
            }
            unsatisfied.removeAll(satisfied);
        }
        return shares;
    }
}
