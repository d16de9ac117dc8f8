package coriandersill.bench.rollout;

import coriandersill.rollout.DeadlinePacer;
import coriandersill.rollout.FixedSampleJudge;
import coriandersill.rollout.FixedStepPacer;
import coriandersill.rollout.JudgeFactory;
import coriandersill.rollout.Pacer;
import coriandersill.rollout.RolloutPhase;
import coriandersill.rollout.SequentialJudge;
import coriandersill.rollout.ThresholdJudge;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ForkJoinPool;
import java.util.stream.LongStream;

/**
 * Prints, for each deployment size and scenario, how many rollouts got the correct verdict, when they ended, and the
 * fraction of requests that a bad version harmed.
 *
 * <p>Arguments: rollouts per scenario, judge ({@code sequential}, {@code threshold} or {@code sample}), pacer
 * ({@code deadline} or {@code steps}), then sizes; without sizes, AWAJ, SILVERBEND and LARGE.
 */
public final class RolloutMeasurement {
    private static final int THREADS = 3;
    private static final long FIXED_SAMPLE_CALLS = 500;

    private RolloutMeasurement() {}

    /** Runs the rollouts; see the class comment for the arguments. */
    public static void main(String[] args) {
        int rollouts = args.length > 0 ? Integer.parseInt(args[0]) : 1000;
        JudgeFactory judge = judge(args.length > 1 ? args[1] : "sequential");
        Pacer pacer = args.length > 2 && args[2].equals("steps") ? FixedStepPacer.create() : DeadlinePacer.create();
        List<RolloutWorkload.Size> sizes = args.length > 3
                ? List.of(args).subList(3, args.length).stream()
                        .map(RolloutWorkload.Size::valueOf)
                        .toList()
                : List.of(RolloutWorkload.Size.AWAJ, RolloutWorkload.Size.SILVERBEND, RolloutWorkload.Size.LARGE);
        for (RolloutWorkload.Size size : sizes) {
            for (RolloutScenario scenario : RolloutScenario.values()) {
                List<RolloutResult> results = run(size, scenario, judge, pacer, rollouts);
                System.out.println(size + " " + scenario + " " + summary(scenario, results));
            }
        }
    }

    /** Simulates rollouts with seeds 0 to {@code rollouts} - 1. */
    static List<RolloutResult> run(
            RolloutWorkload.Size size, RolloutScenario scenario, JudgeFactory judge, Pacer pacer, int rollouts) {
        ForkJoinPool pool = new ForkJoinPool(THREADS);
        List<RolloutResult> results = pool.submit(() -> LongStream.range(0, rollouts)
                        .parallel()
                        .mapToObj(seed -> RolloutSimulation.run(size, scenario, judge, pacer, seed))
                        .toList())
                .join();
        pool.shutdown();
        return results;
    }

    /** Returns the fraction of the rollouts that got the verdict expected in their scenario. */
    static double correctFraction(RolloutScenario scenario, List<RolloutResult> results) {
        RolloutPhase expected = scenario.isGood() ? RolloutPhase.DONE : RolloutPhase.ROLLED_BACK;
        return (double) results.stream()
                        .filter(result -> result.verdict() == expected)
                        .count()
                / results.size();
    }

    private static JudgeFactory judge(String name) {
        return switch (name) {
            case "sequential" -> SequentialJudge.factory();
            case "threshold" -> ThresholdJudge.factory();
            case "sample" -> FixedSampleJudge.factory(FIXED_SAMPLE_CALLS);
            default -> throw new IllegalArgumentException(
                    "judge: expected sequential, threshold or sample, found " + name);
        };
    }

    private static String summary(RolloutScenario scenario, List<RolloutResult> results) {
        double[] ends = results.stream()
                .mapToDouble(RolloutResult::endFraction)
                .sorted()
                .toArray();
        double[] harmed = results.stream()
                .mapToDouble(RolloutResult::harmedFraction)
                .sorted()
                .toArray();
        String harm = scenario.isGood()
                ? ""
                : String.format(
                        Locale.ROOT,
                        ", harmed median %.3f%% p95 %.3f%% worst %.3f%%",
                        100 * harmed[harmed.length / 2],
                        100 * harmed[harmed.length * 95 / 100],
                        100 * harmed[harmed.length - 1]);
        return String.format(
                Locale.ROOT,
                "correct %.1f%%, ended median %.2f worst %.2f%s",
                100 * correctFraction(scenario, results),
                ends[ends.length / 2],
                ends[ends.length - 1],
                harm);
    }
}
