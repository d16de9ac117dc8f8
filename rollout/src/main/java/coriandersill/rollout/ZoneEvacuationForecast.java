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
 * What would happen if availability zones were taken out: the load of the zones that remain, and who would be refused.
 *
 * <pre>{@code
 * ZoneMoveForecast forecast = ZoneMoveForecast.of(zones, demands, Set.of(AvailabilityZone.of("shewa-a")));
 * if (!forecast.fits()) { ... }
 * }</pre>
 *
 * <p>What does not fit is shed by weighted max-min shares: each workspace keeps its demand up to its share, and what
 * some leave unused goes to the others by their weights.
 *
 * @param capacity running requests that the remaining zones bear
 * @param load running requests in each remaining zone, placed by capacity
 * @param refused running requests refused, by workspace; only workspaces that lose some
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
     * What one zone bears.
     *
     * @param zone the zone
     * @param capacity running requests that its upstreams bear, 0 or more
     */
    public record ZoneCapacity(AvailabilityZone zone, double capacity) {}

    /**
     * What one workspace asks for.
     *
     * @param workspace the workspace
     * @param weight its weight in the division, above 0
     * @param demand its running requests now, 0 or more
     */
    public record WorkspaceDemand(WorkspaceName workspace, double weight, double demand) {}

    /** Returns the forecast for taking {@code leaving} out. */
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

    /** Whether nobody would be refused. */
    public boolean fits() {
        return refused.isEmpty();
    }

    private static Map<WorkspaceName, Double> maxMinShares(Collection<WorkspaceDemand> demands, double capacity) {
        Map<WorkspaceName, Double> shares = new HashMap<>();
        List<WorkspaceDemand> open = new ArrayList<>(demands);
        double left = capacity;
        while (!open.isEmpty()) {
            double level =
                    left / open.stream().mapToDouble(WorkspaceDemand::weight).sum();
            List<WorkspaceDemand> satisfied = open.stream()
                    .filter(demand -> demand.demand() <= level * demand.weight() + EPSILON)
                    .toList();
            if (satisfied.isEmpty()) {
                open.forEach(demand -> shares.put(demand.workspace(), level * demand.weight()));
                return shares;
            }
            for (WorkspaceDemand demand : satisfied) {
                shares.put(demand.workspace(), demand.demand());
                left = Math.max(0, left - demand.demand());
            }
            open.removeAll(satisfied);
        }
        return shares;
    }
}
