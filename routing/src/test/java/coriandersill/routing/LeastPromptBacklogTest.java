package coriandersill.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class LeastPromptBacklogTest {
    private static final VersionName V1 = VersionName.of("v1");
    private static final AvailabilityZone LOCAL_ZONE = AvailabilityZone.of("a");
    private static final AvailabilityZone REMOTE_ZONE = AvailabilityZone.of("b");
    private final LeastPromptBacklog policy = LeastPromptBacklog.of(100, 300, 0);

    @Test
    void theEngineWithTheFewestPendingPromptTokensIsChosen() {
        assertThat(chosen(engine("i", LOCAL_ZONE, 0, 2_000, 0), engine("j", LOCAL_ZONE, 3, 500, 0)), is("j"));
    }

    @Test
    void anEngineInAnotherZoneIsChosenOnlyIfItSavesMoreThanTheZoneCost() {
        assertThat(chosen(engine("i", LOCAL_ZONE, 0, 250, 0), engine("j", REMOTE_ZONE, 0, 0, 0)), is("i"));
        assertThat(chosen(engine("i", LOCAL_ZONE, 0, 350, 0), engine("j", REMOTE_ZONE, 0, 0, 0)), is("j"));
    }

    @Test
    void anEngineWithoutEnoughMemoryForTheRequestIsSkipped() {
        assertThat(chosen(engine("i", LOCAL_ZONE, 0, 0, 29_500), engine("j", LOCAL_ZONE, 5, 900, 0)), is("j"));
    }

    @Test
    void theLeastLoadedEngineIsChosenIfNoneHasEnoughMemory() {
        assertThat(chosen(engine("i", LOCAL_ZONE, 0, 0, 29_900), engine("j", LOCAL_ZONE, 0, 0, 29_500)), is("j"));
    }

    private String chosen(Candidate... candidates) {
        RouteRequest request = new RouteRequest(
                ServiceName.of("scribe"), RouteName.of("r"), V1, LOCAL_ZONE, 0, 1_000, 1_000, Set.of());
        return policy.choose(request, List.of(candidates))
                .orElseThrow()
                .instance()
                .value();
    }

    private static Candidate engine(
            String id, AvailabilityZone zone, int inFlight, long pendingPromptTokens, long reservedTokens) {
        return new Candidate(
                InstanceId.of(id), zone, V1, inFlight, reservedTokens, 0, 0, 32, 30_000, pendingPromptTokens);
    }
}
