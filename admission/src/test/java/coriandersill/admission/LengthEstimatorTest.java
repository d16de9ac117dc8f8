package coriandersill.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against reserving too little memory. This happens if an estimate ignores the tokens generated so far, or if it
 * does not follow a shift to longer generations.
 */
final class LengthEstimatorTest {
    private static final long SEED = 7;

    private final QuantileLengthEstimator estimator = QuantileLengthEstimator.create();

    private void learn(LengthEstimator learner, String workspace, int tokens, int times) {
        for (int i = 0; i < times; i++) {
            learner.observe(Requests.key(workspace), 0, tokens, true);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 100, 400, 1_000})
    void remainingQuantilesMatchALargeSampleWithinABucket(int generated) {
        SplittableRandom random = new SplittableRandom(SEED);
        QuantileLengthEstimator longWindow = QuantileLengthEstimator.of(5_000, 10);
        int[] lengths = random.ints(20_000, 0, 1)
                .map(unused -> (int) (200 * Math.exp(random.nextGaussian())))
                .toArray();
        for (int length : lengths) {
            longWindow.observe(Requests.key("a"), 0, length, true);
        }
        int[] remaining = Arrays.stream(lengths)
                .filter(length -> length >= generated)
                .map(length -> length - generated)
                .sorted()
                .toArray();
        for (double probability : new double[] {0.5, 0.9}) {
            double actual = remaining[(int) (remaining.length * probability)];
            double estimate = longWindow.remaining(Requests.key("a"), generated).quantile(probability);
            String reason = "seed " + SEED + ", generated " + generated + ", quantile " + probability;
            assertThat(reason, estimate, allOf(greaterThan(actual * 0.75 - 4), lessThan(actual * 1.33 + 4)));
        }
    }

    @Test
    void theEstimateFollowsAShiftWithinSixtyFourGenerations() {
        learn(estimator, "a", 100, 500);
        assertThat(estimator.remaining(Requests.key("a"), 0).quantile(0.5), lessThan(130));
        learn(estimator, "a", 1_000, 64);
        assertThat(estimator.remaining(Requests.key("a"), 0).quantile(0.5), greaterThan(700));
    }

    @Test
    void withoutDecayTheEstimateDoesNotFollowAShift() {
        QuantileLengthEstimator undecayed = QuantileLengthEstimator.of(1_000_000, 10);
        learn(undecayed, "a", 100, 500);
        learn(undecayed, "a", 1_000, 64);
        assertThat(undecayed.remaining(Requests.key("a"), 0).quantile(0.5), lessThan(130));
    }

    @Test
    void longGenerationsAreLearntFromBeforeTheyEnd() {
        learn(estimator, "a", 100, 500);
        for (int i = 0; i < 64; i++) {
            estimator.observe(Requests.key("a"), 0, 1_000, false);
        }
        assertThat(estimator.remaining(Requests.key("a"), 0).quantile(0.5), greaterThan(700));
    }

    @Test
    void aGenerationThatWasCutShortDoesNotCountAsAShortOne() {
        learn(estimator, "a", 800, 200);
        int before = estimator.remaining(Requests.key("a"), 0).quantile(0.5);
        for (int i = 0; i < 200; i++) {
            estimator.observe(Requests.key("a"), 0, 50, false);
        }
        assertThat(estimator.remaining(Requests.key("a"), 0).quantile(0.5), greaterThanOrEqualTo(before * 9 / 10));
    }

    @Test
    void aGroupWithFewObservationsFollowsItsRouteAndOneWithManyDoesNot() {
        learn(estimator, "crowd", 400, 300);
        learn(estimator, "new", 40, 1);
        int medianWithFew = estimator.remaining(Requests.key("new"), 0).quantile(0.5);
        learn(estimator, "new", 40, 60);
        int medianWithMany = estimator.remaining(Requests.key("new"), 0).quantile(0.5);
        assertThat(medianWithFew, greaterThan(300));
        assertThat(medianWithMany, lessThan(60));
    }

    @Test
    void theNumberOfGroupsIsBoundedAndTheLeastRecentlyUsedIsEvictedFirst() {
        QuantileLengthEstimator small = QuantileLengthEstimator.of(64, 100);
        for (int i = 0; i < 1_000; i++) {
            learn(small, "w" + i, 20, 1);
            learn(small, "kept", 2_000, 1);
        }
        assertThat(small.groupCount(), is(100));
        assertThat(small.remaining(Requests.key("kept"), 0).quantile(0.5), greaterThan(1_500));
        // The default limit: 2,800 workspaces with 13 models each, where a model is one pair of version and route.
        assertThat(QuantileLengthEstimator.bytesPerGroup() * 2_800 * 13, lessThan(32_000_000));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 3, 15, 16, 17, 100, 4_095, 4_096, 65_535, 65_536, 1_000_000})
    void survivalStartsAtOneAndNeverIncreases(int generated) {
        learn(estimator, "a", 300, 30);
        RemainingLength remaining = estimator.remaining(Requests.key("a"), generated);
        double last = 1;
        assertThat(remaining.survival(0), is(1.0));
        for (int more = 1; more < 70_000; more += 1 + more / 7) {
            assertThat(remaining.survival(more), lessThanOrEqualTo(last));
            last = remaining.survival(more);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 15, 16, 17, 31, 32, 1_000, 65_535})
    void everyLengthLiesInItsBucket(int tokens) {
        int bucket = LengthBuckets.index(tokens);
        assertThat(tokens, greaterThanOrEqualTo(LengthBuckets.lower(bucket)));
        assertThat(tokens, lessThan(LengthBuckets.upper(bucket)));
    }
}
