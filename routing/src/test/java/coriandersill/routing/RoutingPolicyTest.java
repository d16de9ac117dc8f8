package coriandersill.routing;

import static coriandersill.routing.Fixtures.candidate;
import static coriandersill.routing.Fixtures.instance;
import static coriandersill.routing.Fixtures.request;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import coriandersill.core.VersionName;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against policies that choose an excluded or overloaded upstream, or send all calls to the same one. */
final class RoutingPolicyTest {
    private final LeastPredictedLoad leastLoad = LeastPredictedLoad.startingAt(0);

    private static int chosen(RoutingPolicy policy, RouteRequest request, List<Candidate> candidates) {
        return candidates.indexOf(policy.choose(request, candidates).orElseThrow());
    }

    @Test
    void everyPolicySkipsExcludedInstancesAndOtherVersions() {
        Candidate other = new Candidate(instance(3), Fixtures.ZONE_A, VersionName.of("v2"), 0, 0, 0, 40, 0);
        List<Candidate> candidates = List.of(candidate(0, 0, 0), candidate(1, 30, 0), other);
        for (RoutingPolicy policy : List.of(
                LeastInFlight.create(),
                RoundRobin.create(),
                leastLoad,
                PrefixAffinity.of(1.25, leastLoad),
                ZonePreference.of(0.7, 0.1, leastLoad))) {
            RouteRequest afterFirstAttempt = request("chat", 5).excluding(instance(0));
            assertThat(policy.toString(), chosen(policy, afterFirstAttempt, candidates), is(1));
            assertThat(policy.choose(afterFirstAttempt.excluding(instance(1)), candidates), is(Optional.empty()));
        }
    }

    @Test
    void thePredictedLoadAccountsForTheCallsOfAllEntriesLimitsAndMemory() {
        Candidate full = new Candidate(instance(0), Fixtures.ZONE_A, Fixtures.V1, 1, 31_000, 0, 0, 40, 32_000);
        Candidate cold = new Candidate(instance(1), Fixtures.ZONE_A, Fixtures.V1, 2, 0, 0, 0, 4, 32_000);
        assertThat(chosen(leastLoad, request("chat", 0), List.of(full, cold, candidate(2, 9, 9))), is(2));
    }

    @Test
    void candidatesWithEqualLoadAreChosenInTurn() {
        List<Candidate> equal = List.of(candidate(0, 1, 0), candidate(1, 1, 0), candidate(2, 1, 0));
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            order.add(chosen(leastLoad, request("chat", 0), equal));
        }
        assertThat(order, is(List.of(0, 1, 2)));
    }

    @Test
    void aPrefixStaysAtItsUpstreamUntilTheLoadExceedsTheBound() {
        PrefixAffinity affinity = PrefixAffinity.of(1.25, leastLoad);
        List<Candidate> equallyLoaded = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            equallyLoaded.add(candidate(i, 20, 0));
        }
        int preferred = chosen(affinity, request("chat", 99), equallyLoaded);
        assertThat(chosen(affinity, request("chat", 99), equallyLoaded), is(preferred));
        List<Candidate> withoutOneOther = new ArrayList<>(equallyLoaded);
        withoutOneOther.remove(preferred == 0 ? 1 : 0);
        assertThat(
                affinity.choose(request("chat", 99), withoutOneOther)
                        .orElseThrow()
                        .instance(),
                is(equallyLoaded.get(preferred).instance()));
        equallyLoaded.set(preferred, candidate(preferred, 28, 0));
        assertThat(chosen(affinity, request("chat", 99), equallyLoaded), is(not(preferred)));
    }

    @Test
    void prefixesAreDistributedOverAllUpstreams() {
        PrefixAffinity affinity = PrefixAffinity.of(1.25, leastLoad);
        List<Candidate> equallyLoaded =
                List.of(candidate(0, 9, 0), candidate(1, 9, 0), candidate(2, 9, 0), candidate(3, 9, 0));
        int[] counts = new int[4];
        for (long hash = 1; hash <= 400; hash++) {
            counts[chosen(affinity, request("chat", hash), equallyLoaded)]++;
        }
        for (int count : counts) {
            assertThat(count, greaterThan(60));
        }
    }

    @Test
    void theLocalZoneIsPreferredOnlyWhileItIsNotOverloaded() {
        ZonePreference preference = ZonePreference.of(0.7, 0.1, leastLoad);
        // Each row: calls in flight in the local zone, calls in flight in the other zone, index of the expected choice.
        for (int[] row : new int[][] {{4, 4, 0}, {6, 4, 0}, {12, 4, 1}, {32, 30, 1}}) {
            List<Candidate> candidates = List.of(candidate(0, row[0], 0), candidate(1, row[1], 0));
            assertThat("local " + row[0], chosen(preference, request("chat", 0), candidates), is(row[2]));
        }
    }
}
