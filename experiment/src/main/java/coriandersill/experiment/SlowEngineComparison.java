package coriandersill.experiment;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Prints how soon entries know of a slow engine by the pace of streams and by their own calls, and how often they err.
 */
final class SlowEngineComparison {
    private static final int ENGINES = 34;
    private static final int[] ENTRY_COUNTS = {1, 4, 33, 350};
    private static final double[] SLOWDOWNS = {1.5, 2, 3.5, 8};
    private static final Duration SLOW_FROM = Duration.ofSeconds(40);
    private static final Duration OBSERVED = Duration.ofSeconds(10);
    private static final Duration WITHOUT_SLOW_ENGINE = Duration.ofHours(1);

    private final PrintStream out;
    private final int seeds;

    SlowEngineComparison(PrintStream out, int seeds) {
        this.out = out;
        this.seeds = seeds;
    }

    void run() {
        out.printf(
                Locale.ROOT,
                "%7s %8s %8s %8s %8s %10s%n",
                "entries",
                "slowdown",
                "p50 ms",
                "p90 ms",
                "unknown",
                "own calls");
        for (int entries : ENTRY_COUNTS) {
            for (double slowdown : SLOWDOWNS) {
                printRow(entries, slowdown);
            }
        }
        for (int entries : ENTRY_COUNTS) {
            SlowEngineModel.Settings settings =
                    new SlowEngineModel.Settings(entries, ENGINES, 1, SLOW_FROM, WITHOUT_SLOW_ENGINE);
            out.printf(
                    Locale.ROOT,
                    "%7d entries, %d engines, no slow one, 1 h: %d false alarms%n",
                    entries,
                    ENGINES,
                    SlowEngineModel.run(settings, 1).falseAlarms());
        }
    }

    private void printRow(int entries, double slowdown) {
        List<Double> delays = new ArrayList<>();
        int knownByOwnCalls = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            SlowEngineModel.Result result = SlowEngineModel.run(
                    new SlowEngineModel.Settings(entries, ENGINES, slowdown, SLOW_FROM, SLOW_FROM.plus(OBSERVED)),
                    seed);
            result.detectedAfterMillis().ifPresent(delays::add);
            knownByOwnCalls += result.ownCallsDetectedAfterMillis().isPresent() ? 1 : 0;
        }
        delays.sort(null);
        out.printf(
                Locale.ROOT,
                "%7d %8.1f %8s %8s %8d %10d%n",
                entries,
                slowdown,
                quantile(delays, 0.5),
                quantile(delays, 0.9),
                seeds - delays.size(),
                knownByOwnCalls);
    }

    /** Returns a quantile over all seeds, of which the missing ones count as later than any. */
    private String quantile(List<Double> delays, double fraction) {
        int index = (int) (fraction * seeds);
        return index < delays.size() ? String.format(Locale.ROOT, "%.0f", delays.get(index)) : "-";
    }
}
