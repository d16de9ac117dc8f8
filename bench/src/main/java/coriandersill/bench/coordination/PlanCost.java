package coriandersill.bench.coordination;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.membership.ConnectionPlan;
import coriandersill.membership.ConnectionPlanSettings;
import coriandersill.membership.Member;
import coriandersill.membership.RegionResolver;
import coriandersill.membership.Role;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Measures the connections per entry and sidecar for 350 entries and 5,500 sidecars, and the mean time to compute the
 * connections of one entry. The statistics of the sidecars leave out those without a connection.
 */
public final class PlanCost {
    private static final int ENTRIES = 350;
    private static final int SIDECARS = 5_500;
    private static final String[] ZONES = {
        "a-1", "a-2", "a-3", "b-1", "b-2", "b-3", "c-1", "c-2", "d-1", "d-2", "e-1", "e-2"
    };

    private PlanCost() {}

    /** Prints the results; takes no arguments. */
    public static void main(String[] arguments) {
        List<Member> entries = members(Role.ENTRY, ENTRIES);
        List<Member> sidecars = members(Role.SIDECAR, SIDECARS);
        ConnectionPlan plan = ConnectionPlan.of(ConnectionPlanSettings.standard(), RegionResolver.byPrefix());
        Map<InstanceId, Integer> connectionsBySidecar = new HashMap<>();
        int minConnections = Integer.MAX_VALUE;
        int maxConnections = 0;
        long totalConnections = 0;
        long startNanos = System.nanoTime();
        for (Member entry : entries) {
            Set<InstanceId> chosen = plan.sidecarsFor(entry, entries, sidecars);
            chosen.forEach(id -> connectionsBySidecar.merge(id, 1, Integer::sum));
            minConnections = Math.min(minConnections, chosen.size());
            maxConnections = Math.max(maxConnections, chosen.size());
            totalConnections += chosen.size();
        }
        double millis = (System.nanoTime() - startNanos) / 1e6 / entries.size();
        IntStream sidecarConnections = connectionsBySidecar.values().stream().mapToInt(Integer::intValue);
        System.out.printf(
                "entry connections min %d mean %.1f max %d  sidecar %s  ms per plan %.1f%n",
                minConnections,
                (double) totalConnections / entries.size(),
                maxConnections,
                sidecarConnections.summaryStatistics(),
                millis);
    }

    private static List<Member> members(Role role, int count) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            boolean sidecar = role == Role.SIDECAR;
            Optional<ServiceName> service =
                    sidecar ? Optional.of(ServiceName.of("model-" + i / ZONES.length % 13)) : Optional.empty();
            Optional<VersionName> version = service.map(any -> VersionName.of("v1"));
            InstanceId id = InstanceId.of((sidecar ? "sidecar-" : "entry-") + i);
            AvailabilityZone zone = AvailabilityZone.of(ZONES[i % ZONES.length]);
            members.add(new Member(id, role, zone, "127.0.0.1", 1, service, version));
        }
        return members;
    }
}
