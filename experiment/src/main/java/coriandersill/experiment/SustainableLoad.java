package coriandersill.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

/**
 * Finds the sustainable load of a deployment and the best fixed concurrency limit at a load.
 *
 * <p>The sustainable load is the largest goodput, in tokens per second, that round-robin routing with any of the fixed
 * limits reaches at any of the offered loads.
 */
final class SustainableLoad {
    private static final int[] FIXED_LIMITS = {12, 16, 20, 24, 28, 32, 40, 48, 64, 96};
    private static final int MIN_RATE = 500;
    private static final int MAX_RATE = 1_300;
    private static final int RATE_STEP = 100;

    private final SimulationRunner runner;
    private final Deployment deployment;

    SustainableLoad(SimulationRunner runner, Deployment deployment) {
        this.runner = runner;
        this.deployment = deployment;
    }

    /** Returns the sustainable load in tokens per second. */
    double tokensPerSecond() {
        double best = 0;
        for (int rate = MIN_RATE; rate <= MAX_RATE; rate += RATE_STEP) {
            best = Math.max(best, bestSummary(rate * deployment.engines()).goodput());
        }
        return best;
    }

    /** Returns the fixed limit with the largest goodput at a load and, among equals, the smallest stall time. */
    int bestLimit(double tokensPerSecond) {
        return bestSummary(tokensPerSecond).load();
    }

    /** Returns the summary of the best fixed limit, which stands in the place of the load. */
    private Summary bestSummary(double tokensPerSecond) {
        List<CompletableFuture<Summary>> runs = new ArrayList<>();
        IntStream.of(FIXED_LIMITS)
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
