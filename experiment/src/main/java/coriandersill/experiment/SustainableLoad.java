package coriandersill.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

/**
 * Finds what the engines of a deployment sustain, and the best fixed limit at a load.
 *
 * <p>The sustainable load is the largest goodput, in tokens a second, that round-robin with any fixed limit reaches at
 * any offered load.
 */
final class SustainableLoad {
    private static final int[] LIMITS = {12, 16, 20, 24, 28, 32, 40, 48, 64, 96};
    private static final int LOWEST_RATE = 500;
    private static final int HIGHEST_RATE = 1_300;
    private static final int RATE_STEP = 100;

    private final SimulationRunner runner;
    private final Deployment deployment;

    SustainableLoad(SimulationRunner runner, Deployment deployment) {
        this.runner = runner;
        this.deployment = deployment;
    }

    /** Returns the sustainable load in tokens a second. */
    double tokensPerSecond() {
        double best = 0;
        for (int rate = LOWEST_RATE; rate <= HIGHEST_RATE; rate += RATE_STEP) {
            best = Math.max(best, bestAt(rate * deployment.engines()).goodput());
        }
        return best;
    }

    /** Returns the fixed limit with the largest goodput at a load and, among equals, the least stall time. */
    int bestLimit(double tokensPerSecond) {
        return bestAt(tokensPerSecond).load();
    }

    private Summary bestAt(double tokensPerSecond) {
        List<CompletableFuture<Summary>> runs = new ArrayList<>();
        IntStream.of(LIMITS)
                .forEach(limit -> runs.add(runner.run(deployment, tokensPerSecond, PolicySets.roundRobin(limit))
                        .thenApply(results -> new Summary("fixed", limit, results))));
        return runs.stream()
                .map(CompletableFuture::join)
                .max(Comparator.comparingDouble((Summary summary) -> Math.rint(summary.goodput()))
                        .thenComparing(Comparator.comparingDouble(Summary::stallSeconds)
                                .reversed()))
                .orElseThrow();
    }
}
