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
 * Prints, for each size and kind of rollout, how many ended as they should and whom a bad version harmed.
 *
 * <p>Arguments: moves per kind, judge ({@code sequential}, {@code threshold} or {@code sample}), pacer
 * ({@code deadline} or {@code steps}), then sizes; none means both deployments and the large one.
 */
public final class RolloutMeasurement {
    private static final int THREADS = 3;
    private static final long SAMPLE_CALLS = 500;

    private RolloutMeasurement() {}

    /** Runs the moves; see the class comment for the arguments. */
    public static void main(String[] args) {
        int moves = args.length > 0 ? Integer.parseInt(args[0]) : 1000;
        JudgeFactory judge = judge(args.length > 1 ? args[1] : "sequential");
        Pacer pacer = args.length > 2 && args[2].equals("steps") ? FixedStepPacer.create() : DeadlinePacer.create();
        List<Deployment.Size> sizes = args.length > 3
                ? List.of(args).subList(3, args.length).stream()
                        .map(Deployment.Size::valueOf)
                        .toList()
                : List.of(Deployment.Size.AWAJ, Deployment.Size.SILVERBEND, Deployment.Size.LARGE);
        for (Deployment.Size size : sizes) {
            for (RolloutScenario kind : RolloutScenario.values()) {
                List<RolloutResult> results = run(size, kind, judge, pacer, moves);
                System.out.println(size + " " + kind + " " + summary(kind, results));
            }
        }
    }

    /** Runs the moves of seeds 0 to {@code moves} - 1. */
    static List<RolloutResult> run(
            Deployment.Size size, RolloutScenario kind, JudgeFactory judge, Pacer pacer, int moves) {
        ForkJoinPool pool = new ForkJoinPool(THREADS);
        List<RolloutResult> results = pool.submit(() -> LongStream.range(0, moves)
                        .parallel()
                        .mapToObj(seed -> RolloutSimulation.run(size, kind, judge, pacer, seed))
                        .toList())
                .join();
        pool.shutdown();
        return results;
    }

    /** Returns the part of the moves with the verdict that their kind calls for, from 0 to 1. */
    static double right(RolloutScenario kind, List<RolloutResult> results) {
        RolloutPhase expected = kind.good() ? RolloutPhase.DONE : RolloutPhase.ROLLED_BACK;
        return (double) results.stream()
                        .filter(result -> result.verdict() == expected)
                        .count()
                / results.size();
    }

    private static JudgeFactory judge(String name) {
        return switch (name) {
            case "sequential" -> SequentialJudge.factory();
            case "threshold" -> ThresholdJudge.factory();
            case "sample" -> FixedSampleJudge.factory(SAMPLE_CALLS);
            default -> throw new IllegalArgumentException(
                    "judge: expected sequential, threshold or sample, found " + name);
        };
    }

    private static String summary(RolloutScenario kind, List<RolloutResult> results) {
        double[] ends =
                results.stream().mapToDouble(RolloutResult::endPart).sorted().toArray();
        double[] harmed =
                results.stream().mapToDouble(RolloutResult::harmedPart).sorted().toArray();
        String harm = kind.good()
                ? ""
                : String.format(
                        Locale.ROOT,
                        ", harmed median %.3f%% p95 %.3f%% worst %.3f%%",
                        100 * harmed[harmed.length / 2],
                        100 * harmed[harmed.length * 95 / 100],
                        100 * harmed[harmed.length - 1]);
        return String.format(
                Locale.ROOT,
                "right %.1f%%, ended median %.2f worst %.2f%s",
                100 * right(kind, results),
                ends[ends.length / 2],
                ends[ends.length - 1],
                harm);
    }
}
