package coriandersill.experiment;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

/** Prints what callers and asking workers get if entries ignore or obey a worker's wish for no requests. */
final class QuietTimeComparison {
    private static final int[] ENTRY_COUNTS = {4, 33, 350};

    private final PrintStream out;
    private final int seeds;

    QuietTimeComparison(PrintStream out, int seeds) {
        this.out = out;
        this.seeds = seeds;
    }

    void run() {
        out.printf(
                Locale.ROOT,
                "%7s %-16s %8s %8s %8s %9s %8s %9s %9s%n",
                "entries",
                "quiet times",
                "offered",
                "served",
                "p99 ms",
                "arrivals",
                "late",
                "most late",
                "at return");
        for (int entries : ENTRY_COUNTS) {
            printRow(entries, "ignored", QuietTimePolicy.IGNORE);
            printRow(entries, "until the end", QuietTimePolicy.UNTIL_THE_END);
            printRow(entries, "spread", QuietTimePolicy.SPREAD);
        }
    }

    private void printRow(int entries, String name, QuietTimePolicy policy) {
        List<QuietTimeModel.Result> results = LongStream.rangeClosed(1, seeds)
                .mapToObj(seed -> QuietTimeModel.run(entries, policy, seed))
                .toList();
        out.printf(
                Locale.ROOT,
                "%7d %-16s %8.0f %7.2f%% %8.0f %9.0f %8.1f %9d %9.2f%n",
                entries,
                name,
                mean(results, QuietTimeModel.Result::offered),
                100 * mean(results, QuietTimeModel.Result::served) / mean(results, QuietTimeModel.Result::offered),
                mean(results, QuietTimeModel.Result::p99Millis),
                mean(results, QuietTimeModel.Result::arrivalsInQuietTimes),
                mean(results, QuietTimeModel.Result::lateArrivals),
                results.stream()
                        .mapToInt(QuietTimeModel.Result::maxLateArrivals)
                        .max()
                        .orElse(0),
                mean(results, QuietTimeModel.Result::maxArrivalsAtReturn));
    }

    private static double mean(List<QuietTimeModel.Result> results, ToDoubleFunction<QuietTimeModel.Result> figure) {
        return results.stream().mapToDouble(figure).average().orElse(Double.NaN);
    }
}
