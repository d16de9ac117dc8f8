package coriandersill.quota;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import coriandersill.core.WorkspaceName;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against refusing demand of one workspace while another keeps more relative to its weight, when capacity falls
 * below the demand because an availability zone leaves.
 */
final class ShedPlanTest {

    @ParameterizedTest
    @CsvSource({
        "100, 10 20 30, 1 1 1, 10 20 30",
        "50, 10 20 30, 1 1 1, 10 20 20",
        "30, 10 20 30, 1 1 1, 10 10 10",
        "30, 100 10 10, 1 1 1, 10 10 10",
        "60, 100 100 0, 2 1 1, 40 20 0",
        "0, 5 5 5, 1 2 3, 0 0 0",
    })
    void eachWorkspaceKeepsItsWeightedShareOrItsWholeDemand(
            double capacity, String demands, String weights, String kept) {
        List<WorkspaceDemand> workspaceDemands = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            workspaceDemands.add(
                    new WorkspaceDemand(WorkspaceName.of("w" + i), numbers(demands)[i], numbers(weights)[i]));
        }
        ShedPlan plan = ShedPlan.of(capacity, workspaceDemands);
        for (ShedPlan.Share share : plan.shares()) {
            int index = Integer.parseInt(share.workspace().value().substring(1));
            assertThat(share.toString(), share.kept(), closeTo(numbers(kept)[index], 1e-9));
        }
        double refused = plan.refused().stream()
                .mapToDouble(ShedPlan.Share::refusedFraction)
                .sum();
        assertThat(refused > 0, is(Arrays.stream(numbers(demands)).sum() > capacity));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void noWorkspaceIsShedWhileAnotherKeepsMoreRelativeToItsWeight(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<WorkspaceDemand> demands = random.ints(200, 0, 1_000)
                .mapToObj(i -> new WorkspaceDemand(WorkspaceName.of("w" + random.nextLong()), i, 1 + i % 3))
                .collect(Collectors.toList());
        ShedPlan plan = ShedPlan.of(20_000, demands);
        double maxKept = 0;
        double minKeptOfRefused = Double.MAX_VALUE;
        for (ShedPlan.Share share : plan.shares()) {
            double weight = 1 + (int) share.demand() % 3;
            maxKept = Math.max(maxKept, share.kept() / weight);
            minKeptOfRefused =
                    share.refusedFraction() > 0 ? Math.min(minKeptOfRefused, share.kept() / weight) : minKeptOfRefused;
        }
        assertThat("seed " + seed, maxKept, lessThanOrEqualTo(minKeptOfRefused + 1e-6));
    }

    private static double[] numbers(String text) {
        return Arrays.stream(text.split(" ")).mapToDouble(Double::parseDouble).toArray();
    }
}
