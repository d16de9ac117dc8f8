package coriandersill.routing;

import java.util.Arrays;

/**
 * How the time of a decoding step of a service's engines grows with the batch, and how much longer than usual their
 * longest pauses are, learned from observed streams. Not thread-safe.
 */
final class StepModel {
    /** The part of the evidence that an observation replaces; a thousand observations are a few seconds of streams. */
    private static final double DECAY = 0.999;

    private static final double MIN_WEIGHT = 200;

    /** The variance of the batch below which its effect cannot be told from noise. */
    private static final double MIN_BATCH_VARIANCE = 1;

    /** A generation that adds more than this part of a step would not be batched at all. */
    private static final double MAX_GROWTH = 0.1;

    private static final int KEPT_RATIOS = 512;
    private static final int MIN_RATIOS = 64;

    /**
     * The part of the pauses that are shorter than the stated ratio. A stream of ten seconds has some fifty groups of
     * four intervals, and one long pause makes it late.
     */
    private static final double PAUSE_QUANTILE = 0.98;

    private double weight;
    private double batchSum;
    private double timeSum;
    private double batchSquares;
    private double products;
    private final double[] ratios = new double[KEPT_RATIOS];
    private int ratioCount;

    /**
     * Records an observation.
     *
     * @param batch the number of generations at the engine
     * @param relativeStep the time of a step, in relation to the engine's own usual time
     * @param pauseRatio the longest of the latest intervals between events, in relation to the engine's usual one
     */
    void record(int batch, double relativeStep, double pauseRatio) {
        weight = weight * DECAY + 1;
        batchSum = batchSum * DECAY + batch;
        timeSum = timeSum * DECAY + relativeStep;
        batchSquares = batchSquares * DECAY + (double) batch * batch;
        products = products * DECAY + batch * relativeStep;
        ratios[ratioCount % KEPT_RATIOS] = pauseRatio;
        ratioCount++;
    }

    /** Returns how much longer a step takes for each generation, as a part of the step with an empty batch. */
    double batchGrowth() {
        if (weight < MIN_WEIGHT) {
            return 0;
        }
        double mean = batchSum / weight;
        double variance = batchSquares / weight - mean * mean;
        if (variance < MIN_BATCH_VARIANCE) {
            return 0;
        }
        double slope = (products / weight - mean * timeSum / weight) / variance;
        double empty = timeSum / weight - slope * mean;
        return empty <= 0 ? 0 : Math.max(0, Math.min(MAX_GROWTH, slope / empty));
    }

    /** Returns the mean number of generations at an engine; 0 if nothing was observed. */
    double meanBatch() {
        return weight == 0 ? 0 : batchSum / weight;
    }

    /** Returns how many times the lasting time of its engine a step takes on average; 1 while too few are known. */
    double meanRatio() {
        return weight < MIN_WEIGHT ? 1 : Math.max(1, timeSum / weight);
    }

    /** Returns the time of a step at the mean batch, for one of {@code nanos} at the given batch. */
    double atMeanBatch(double nanos, int batch) {
        return weight == 0 ? nanos : nanos * (1 + batchGrowth() * meanBatch()) / (1 + batchGrowth() * batch);
    }

    /** Returns the ratio that 98 in 100 of the longest pauses stay below; 1 while too few are known. */
    double pauseRatio() {
        int kept = Math.min(ratioCount, KEPT_RATIOS);
        if (kept < MIN_RATIOS) {
            return 1;
        }
        double[] sorted = Arrays.copyOf(ratios, kept);
        Arrays.sort(sorted);
        return Math.max(1, sorted[(int) (kept * PAUSE_QUANTILE)]);
    }
}
