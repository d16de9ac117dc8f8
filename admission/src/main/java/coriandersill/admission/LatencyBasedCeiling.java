package coriandersill.admission;

import java.time.Duration;

/**
 * Adapts the ceiling after each time window with at least 100 samples. If too many tokens of the window were late, the
 * ceiling becomes 90 % of the window's peak concurrency, or of the ceiling if that is lower. Otherwise, if the peak
 * reached 90 % of the ceiling, the ceiling rises by 1 plus 2 %.
 */
public final class LatencyBasedCeiling implements ConcurrencyCeiling {
    /** In windows of 0.5 s, a single engine step with a prefill was enough to lower the ceiling. */
    private static final long WINDOW_NANOS = Duration.ofSeconds(4).toNanos();

    private static final int MIN_SAMPLES = 100;
    private static final double DECREASE_FACTOR = 0.9;
    private static final int INCREASE_DIVISOR = 50;
    private static final double IN_USE_FRACTION = 0.9;

    private final long targetNanos;
    private final double lateFraction;
    private final int minCeiling;
    private final int maxCeiling;
    private int ceiling;
    private long windowEndNanos;
    private int samples;
    private int lateSamples;
    private int peakRunning;

    private LatencyBasedCeiling(Duration target, double lateFraction, int minCeiling, int maxCeiling) {
        this.targetNanos = target.toNanos();
        this.lateFraction = lateFraction;
        this.minCeiling = minCeiling;
        this.maxCeiling = maxCeiling;
        this.ceiling = maxCeiling;
    }

    /**
     * Creates a ceiling that starts at {@code maxCeiling}.
     *
     * @param target the maximum time between tokens; a token that takes longer is late
     * @param lateFraction the fraction of tokens that may be late, such as 0.05
     * @param minCeiling the lower bound of the ceiling
     * @param maxCeiling the upper bound of the ceiling
     */
    public static LatencyBasedCeiling of(Duration target, double lateFraction, int minCeiling, int maxCeiling) {
        return new LatencyBasedCeiling(target, lateFraction, minCeiling, maxCeiling);
    }

    @Override
    public int ceiling() {
        return ceiling;
    }

    @Override
    public void recordInterTokenLatency(long nowNanos, long interTokenNanos, int running) {
        if (nowNanos - windowEndNanos >= 0) {
            if (samples >= MIN_SAMPLES) {
                adjust();
            }
            windowEndNanos = nowNanos + WINDOW_NANOS;
            samples = 0;
            lateSamples = 0;
            peakRunning = 0;
        }
        samples++;
        peakRunning = Math.max(peakRunning, running);
        if (interTokenNanos > targetNanos) {
            lateSamples++;
        }
    }

    private void adjust() {
        if (lateSamples > lateFraction * samples) {
            ceiling = Math.max(minCeiling, (int) (Math.min(ceiling, peakRunning) * DECREASE_FACTOR));
        } else if (peakRunning >= IN_USE_FRACTION * ceiling) {
            ceiling = Math.min(maxCeiling, ceiling + 1 + ceiling / INCREASE_DIVISOR);
        }
    }
}
