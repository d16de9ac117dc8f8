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
    /** The range and step of the offered loads at which the goodput is determined. */
    private static final int MIN_TOKENS_PER_SECOND_PER_ENGINE = 500;

    private static final int MAX_TOKENS_PER_SECOND_PER_ENGINE = 1_300;

    private static final int TOKENS_PER_SECOND_PER_ENGINE_STEP = 100;

    private final SimulationRunner runner;
    private final Deployment deployment;

    private record LimitResult(int limit, Summary summary) {}

    SustainableLoad(SimulationRunner runner, Deployment deployment) {
        this.runner = runner;
        this.deployment = deployment;
    }

    /** Returns the sustainable load in tokens per second. */
    double tokensPerSecond() {
        double best = 0;
        for (int rate = MIN_TOKENS_PER_SECOND_PER_ENGINE;
                rate <= MAX_TOKENS_PER_SECOND_PER_ENGINE;
                rate += TOKENS_PER_SECOND_PER_ENGINE_STEP) {
            best = Math.max(
                    best, bestLimitResult(rate * deployment.engines()).summary().goodputTokensPerSecond());
        }
        return best;
    }

    /**
     * Returns the fixed limit with the largest goodput at a load. Goodput is compared in whole tokens per second; among
     * equals, the limit with the smallest stall time is best.
     */
    int bestLimit(double tokensPerSecond) {
        return bestLimitResult(tokensPerSecond).limit();
    }

    private LimitResult bestLimitResult(double tokensPerSecond) {
        List<CompletableFuture<LimitResult>> runs = new ArrayList<>();
        IntStream.of(FIXED_LIMITS)
                .forEach(limit -> runs.add(runner.run(deployment, tokensPerSecond, PolicySets.roundRobin(limit))
                        .thenApply(results -> new LimitResult(limit, new Summary("fixed", 0, results)))));
        return runs.stream()
                .map(CompletableFuture::join)
                .max(Comparator.comparingDouble((LimitResult result) ->
                                Math.rint(result.summary().goodputTokensPerSecond()))
                        .thenComparing(Comparator.comparingDouble(
                                        (LimitResult result) -> result.summary().stallSeconds())
                                .reversed()))
                .orElseThrow();
    }
}
