package coriandersill.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.RouteName;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against bad versions that are not found and against false alarms beyond the configured rate. False alarms
 * could come from evaluating a fixed-level test after every window, from a cause that affects both versions or from one
 * burst of failures. The bench module simulates complete rollouts.
 */
class SequentialJudgeTest {
    private static final RouteName CHAT = RouteName.of("chat");
    private static final RouteName NOTES = RouteName.of("notes");
    private static final AvailabilityZone ZONE = AvailabilityZone.of("a");
    private static final int WINDOWS = 200;
    private static final long RUNS = 400;

    /** Generates the traffic of both versions on a route in a window. */
    private interface TrafficModel {
        Stratum stratum(Random random, RouteName route, int window);
    }

    @Test
    void evaluatingAfterEveryWindowKeepsTheConfiguredFalseAlarmRate() {
        assertThat(falseAlarmRate(SequentialJudge.factory(), 0.05), lessThanOrEqualTo(0.05));
    }

    @Test
    void aFixedLevelTestEvaluatedAfterEveryWindowExceedsTheFalseAlarmRate() {
        assertThat(falseAlarmRate(RepeatedFixedLevelJudge::new, 0.05), greaterThan(0.05));
    }

    @Test
    void aVersionThatFailsThreeTimesAsOftenIsFoundBadWithTheRouteNamed() {
        Judgement judgement = judge(
                5, (random, route, window) -> stratum(random, route, 0.02, route.equals(NOTES) ? 0.06 : 0.02, 1, 1));
        assertThat(judgement.finding(), is(Judgement.Finding.BAD));
        assertThat(judgement.reason(), containsString("errors on notes"));
    }

    @Test
    void aVersionThatBecomesSlowLateIsFoundBadDespiteItsGoodStart() {
        Judgement judgement = judge(
                6, (random, route, window) -> stratum(random, route, 0.01, 0.01, 1, window > WINDOWS * 3 / 4 ? 2 : 1));
        assertThat(judgement.finding(), is(Judgement.Finding.BAD));
        assertThat(judgement.reason(), containsString("token"));
    }

    @Test
    void aCauseThatAffectsBothVersionsAlikeRaisesNoAlarm() {
        for (long seed = 0; seed < 50; seed++) {
            Judgement judgement = judge(
                    seed,
                    (random, route, window) -> window % 50 < 20
                            ? stratum(random, route, 0.3, 0.3, 3, 3)
                            : stratum(random, route, 0.01, 0.01, 1, 1));
            assertThat("seed " + seed, judgement.finding(), is(Judgement.Finding.PROVEN));
        }
    }

    @Test
    void tooLittleTrafficIsReportedAsThinEvidence() {
        Judge judge = SequentialJudge.factory().create(settings(0.01));
        Judgement judgement = judge.observe(new WindowEvidence(
                0, 0.01, List.of(new Stratum(CHAT, ZONE, cell(200, 2, 1, new Random(1)), EvidenceCell.empty()))));
        assertThat(judgement.finding(), is(Judgement.Finding.THIN));
        assertThat(judgement.calls(), is(0L));
    }

    @Test
    void oneBurstOfFailuresInOneWindowRaisesNoAlarm() {
        Judgement judgement =
                judge(7, (random, route, window) -> stratum(random, route, 0.01, window == 50 ? 0.5 : 0.01, 1, 1));
        assertThat(judgement.finding(), is(Judgement.Finding.PROVEN));
    }

    @Test
    void aFindingOfBadIsFinal() {
        Judge judge = SequentialJudge.factory().create(settings(0.01));
        Random random = new Random(8);
        List<Judgement> judgements = new ArrayList<>();
        for (int window = 0; window < WINDOWS; window++) {
            double newErrorRate = window < WINDOWS / 2 ? 0.5 : 0.001;
            List<Stratum> strata = List.of(stratum(random, CHAT, 0.01, newErrorRate, 1, 1));
            judgements.add(judge.observe(new WindowEvidence(window, 0.3, strata)));
        }
        Judgement last = judgements.get(WINDOWS - 1);
        assertThat(judgements.get(WINDOWS / 2), is(last));
        assertThat(last.finding(), is(Judgement.Finding.BAD));
    }

    private static double falseAlarmRate(JudgeFactory factory, double configuredRate) {
        return (double) LongStream.range(0, RUNS)
                        .filter(seed -> judge(
                                                factory,
                                                configuredRate,
                                                seed,
                                                (random, route, window) -> stratum(random, route, 0.05, 0.05, 1, 1))
                                        .finding()
                                == Judgement.Finding.BAD)
                        .count()
                / RUNS;
    }

    private static Judgement judge(long seed, TrafficModel traffic) {
        return judge(SequentialJudge.factory(), 0.002, seed, traffic);
    }

    private static Judgement judge(JudgeFactory factory, double falseAlarmRate, long seed, TrafficModel traffic) {
        Judge judge = factory.create(settings(falseAlarmRate));
        Random random = new Random(seed);
        Judgement judgement = Judgement.none();
        for (int window = 0; window < WINDOWS; window++) {
            List<Stratum> strata =
                    List.of(traffic.stratum(random, CHAT, window), traffic.stratum(random, NOTES, window));
            judgement = judge.observe(new WindowEvidence(window, 0.3, strata));
        }
        return judgement;
    }

    private static JudgeSettings settings(double falseAlarmRate) {
        return new JudgeSettings(new RegressionCriteria(3, 2, 2), Set.of(CHAT, NOTES), falseAlarmRate, WINDOWS);
    }

    private static Stratum stratum(
            Random random,
            RouteName route,
            double oldErrorRate,
            double newErrorRate,
            double oldLatencyFactor,
            double newLatencyFactor) {
        EvidenceCell oldCell = cell(70, failures(random, 70, oldErrorRate), oldLatencyFactor, random);
        return new Stratum(
                route, ZONE, oldCell, cell(30, failures(random, 30, newErrorRate), newLatencyFactor, random));
    }

    private static int failures(Random random, int calls, double errorRate) {
        return (int) LongStream.range(0, calls)
                .filter(call -> random.nextDouble() < errorRate)
                .count();
    }

    private static EvidenceCell cell(int calls, int failures, double latencyFactor, Random random) {
        int[] counts = new int[LatencyHistogram.BUCKETS];
        for (int call = failures; call < calls; call++) {
            double nanos = 40_000_000 * latencyFactor * Math.exp(0.4 * random.nextGaussian());
            counts[LatencyHistogram.bucketOf((long) nanos)]++;
        }
        LatencyHistogram latency = LatencyHistogram.of(counts);
        return new EvidenceCell(calls, failures, latency, latency);
    }

    /** A judge that evaluates a fixed-level test after every window, which inflates its false alarm rate. */
    private static final class RepeatedFixedLevelJudge implements Judge {
        private EvidenceCell oldCell = EvidenceCell.empty();
        private EvidenceCell newCell = EvidenceCell.empty();
        private Judgement last = Judgement.none();

        private RepeatedFixedLevelJudge(JudgeSettings settings) {}

        @Override
        public Judgement observe(WindowEvidence window) {
            for (Stratum stratum : window.strata()) {
                oldCell = oldCell.plus(stratum.oldCell());
                newCell = newCell.plus(stratum.newCell());
            }
            Judge test = FixedSampleJudge.factory(1).create(settings(0.05));
            Judgement current =
                    test.observe(new WindowEvidence(0, 0.3, List.of(new Stratum(CHAT, ZONE, oldCell, newCell))));
            // 3.3 is the alarm level of FixedSampleJudge; 1.645 is the one-sided 5% quantile of the normal
            // distribution.
            boolean alarm = current.suspicion() * 3.3 >= 1.645;
            last = alarm ? new Judgement(Judgement.Finding.BAD, 1, 1, 1, newCell.calls(), "alarm") : last;
            return last;
        }
    }
}
