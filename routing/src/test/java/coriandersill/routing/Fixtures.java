package coriandersill.routing;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Requests and candidates shared by the tests of this package. */
final class Fixtures {
    static final VersionName V1 = VersionName.of("v1");
    static final AvailabilityZone ZONE_A = zone(0);

    private Fixtures() {}

    static AvailabilityZone zone(int index) {
        return AvailabilityZone.of("shewa-" + (char) ('a' + index));
    }

    static InstanceId instance(int index) {
        return InstanceId.of("sidecar-" + index);
    }

    static RouteRequest request(String route, long affinityHash) {
        return new RouteRequest(
                ServiceName.of("scribe"), RouteName.of(route), V1, ZONE_A, affinityHash, 100, 400, Set.of());
    }

    /** Returns {@code count} sidecars of equal capacity, distributed over three zones. */
    static List<CandidateInfo> sidecars(int count) {
        List<CandidateInfo> result = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            result.add(new CandidateInfo(instance(i), zone(i % 3), V1, 40, 32_000));
        }
        return result;
    }

    static Candidate candidate(int index, int inFlight, int otherEntriesInFlight) {
        return new Candidate(instance(index), zone(index % 3), V1, inFlight, 0, otherEntriesInFlight, 40, 0);
    }
}
