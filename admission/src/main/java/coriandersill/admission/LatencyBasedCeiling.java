package coriandersill.admission;

import java.time.Duration;

/**
 * Lowers the ceiling by a tenth when too many of a window's tokens came late, and raises it slowly when it was reached
 * and they did not.
 */
public final class LatencyBasedCeiling implements ConcurrencyCeiling {
    private static final long WINDOW_NANOS = Duration.ofSeconds(4).toNanos();
    private static final int MIN_GAPS = 100;
    private static final double DECREASE = 0.9;
    private static final int INCREASE_DIVISOR = 50;
    private static final double IN_USE = 0.9;

    private final long targetNanos;
    private final double lateShare;
    private final int least;
    private final int most;
    private int ceiling;
    private long windowEnd;
    private int gaps;
    private int late;
    private int peak;

    private LatencyBasedCeiling(Duration target, double lateShare, int least, int most) {
        this.targetNanos = target.toNanos();
        this.lateShare = lateShare;
        this.least = least;
        this.most = most;
        this.ceiling = most;
    }

    /**
     * Returns a guard that starts at {@code most}.
     *
     * @param target the time between tokens that is still in time
     * @param lateShare the share of tokens that may be late, such as 0.05
     */
    public static LatencyBasedCeiling of(Duration target, double lateShare, int least, int most) {
        return new LatencyBasedCeiling(target, lateShare, least, most);
    }

    @Override
    public int ceiling() {
        return ceiling;
    }

    @Override
    public void recordInterTokenLatency(long nowNanos, long gapNanos, int running) {
        if (nowNanos - windowEnd >= 0) {
            if (gaps >= MIN_GAPS) {
                adjust();
            }
            windowEnd = nowNanos + WINDOW_NANOS;
            gaps = 0;
            late = 0;
            peak = 0;
        }
        gaps++;
        peak = Math.max(peak, running);
        if (gapNanos > targetNanos) {
            late++;
        }
    }

    private void adjust() {
        if (late > lateShare * gaps) {
            ceiling = Math.max(least, (int) (Math.min(ceiling, peak) * DECREASE));
        } else if (peak >= IN_USE * ceiling) {
            ceiling = Math.min(most, ceiling + 1 + ceiling / INCREASE_DIVISOR);
        }
    }
}
