package coriandersill.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks the connection plan with up to 350 entries and 5,500 sidecars in 5 regions with 12 availability zones. */
final class ConnectionPlanTest {
    private static final int SERVICE_COUNT = 13;
    private static final List<String> ZONES =
            List.of("a-1", "a-2", "a-3", "b-1", "b-2", "b-3", "c-1", "c-2", "d-1", "d-2", "e-1", "e-2");

    private final ConnectionPlan plan = ConnectionPlan.of(ConnectionPlanSettings.standard(), RegionResolver.byPrefix());

    @Test
    void everySidecarHasEnoughEntriesAndNoEntryOrSidecarHasTooManyConnections() {
        List<Member> entries = members(Role.ENTRY, 350);
        List<Member> sidecars = members(Role.SIDECAR, 5500);
        Map<InstanceId, Member> byId = new HashMap<>();
        sidecars.forEach(sidecar -> byId.put(sidecar.id(), sidecar));
        Map<InstanceId, Integer> entryCounts = new HashMap<>();
        Map<InstanceId, Set<AvailabilityZone>> entryZones = new HashMap<>();
        int maxConnections = 0;
        for (Member entry : entries) {
            Set<InstanceId> chosen = plan.sidecarsFor(entry, entries, sidecars);
            maxConnections = Math.max(maxConnections, chosen.size());
            Map<ServiceName, Integer> services = new HashMap<>();
            for (InstanceId id : chosen) {
                entryCounts.merge(id, 1, Integer::sum);
                entryZones.computeIfAbsent(id, any -> new HashSet<>()).add(entry.zone());
                services.merge(byId.get(id).service().orElseThrow(), 1, Integer::sum);
            }
            assertThat("services available to " + entry.id(), services.size(), is(SERVICE_COUNT));
            services.forEach(
                    (service, count) -> assertThat(service + " from " + entry.id(), count, greaterThanOrEqualTo(2)));
        }
        assertThat(maxConnections, lessThanOrEqualTo(150));
        for (Member sidecar : sidecars) {
            int count = entryCounts.getOrDefault(sidecar.id(), 0);
            assertThat("entries connected to " + sidecar.id(), count, greaterThanOrEqualTo(7));
            assertThat("entries connected to " + sidecar.id(), count, lessThanOrEqualTo(16));
            assertThat(
                    "zones of the entries connected to " + sidecar.id(),
                    entryZones.get(sidecar.id()).size(),
                    greaterThanOrEqualTo(3));
        }
        assertThat(
                ConnectionPlanSettings.heartbeatInterval(maxConnections, 100, 12_000, Duration.ofSeconds(1)),
                lessThan(Duration.ofSeconds(2)));
    }

    @Test
    void addingOrRemovingOneEntryMovesOnlyItsOwnConnections() {
        List<Member> entries = members(Role.ENTRY, 60);
        List<Member> sidecars = members(Role.SIDECAR, 600);
        List<Member> fewer = entries.subList(0, 59);
        int moved = 0;
        for (Member entry : fewer) {
            Set<InstanceId> before = plan.sidecarsFor(entry, entries, sidecars);
            Set<InstanceId> after = plan.sidecarsFor(entry, fewer, sidecars);
            moved += symmetricDifference(before, after);
        }
        int own = plan.sidecarsFor(entries.get(59), entries, sidecars).size();
        assertThat(moved, lessThanOrEqualTo(2 * own));
    }

    @Test
    void inASmallDeploymentEveryEntryConnectsToEverySidecar() {
        List<Member> entries = members(Role.ENTRY, 3);
        List<Member> sidecars = members(Role.SIDECAR, 11);
        for (Member entry : entries) {
            assertThat(plan.sidecarsFor(entry, entries, sidecars), hasSize(11));
        }
    }

    @Test
    void theConnectionsToAServiceWithFewSidecarsAreBounded() {
        List<Member> entries = members(Role.ENTRY, 350);
        List<Member> fewSidecars = members(Role.SIDECAR, 3);
        int connections = 0;
        for (Member entry : entries) {
            Set<InstanceId> chosen = plan.sidecarsFor(entry, entries, fewSidecars);
            assertThat(chosen.size(), greaterThanOrEqualTo(1));
            connections += chosen.size();
        }
        // Each entry connects to at least 1 sidecar, each sidecar has 7 assigned entries, and the average is rounded.
        assertThat(connections / 3, lessThanOrEqualTo(350 / 3 + 8));
    }

    @Test
    void aStateSpreadsOverThePeersToEveryEntryInFewSteps() {
        List<Member> entries = members(Role.ENTRY, 350);
        Map<InstanceId, List<InstanceId>> peers = new HashMap<>();
        entries.forEach(entry -> peers.put(entry.id(), plan.peersFor(entry, entries)));
        Set<InstanceId> reached = new HashSet<>(Set.of(entries.get(0).id()));
        for (int step = 0; step < 12; step++) {
            Set<InstanceId> known = Set.copyOf(reached);
            peers.forEach((id, asked) -> {
                if (asked.stream().anyMatch(known::contains)) {
                    reached.add(id);
                }
            });
        }
        assertThat(reached, hasSize(350));
        peers.forEach((id, asked) -> assertThat(asked, hasSize(4)));
    }

    private static int symmetricDifference(Set<InstanceId> one, Set<InstanceId> other) {
        Set<InstanceId> both = new HashSet<>(one);
        both.retainAll(other);
        return one.size() + other.size() - 2 * both.size();
    }

    private static List<Member> members(Role role, int count) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            AvailabilityZone zone = AvailabilityZone.of(ZONES.get(i % ZONES.size()));
            Optional<ServiceName> service = role == Role.ENTRY
                    ? Optional.empty()
                    : Optional.of(ServiceName.of(count < 20 ? "rare" : "model-" + i / ZONES.size() % SERVICE_COUNT));
            Optional<VersionName> version = service.map(any -> VersionName.of("v1"));
            InstanceId id = InstanceId.of((role == Role.ENTRY ? "entry-" : "sidecar-") + i);
            members.add(new Member(id, role, zone, "127.0.0.1", 1, service, version));
        }
        return members;
    }
}
