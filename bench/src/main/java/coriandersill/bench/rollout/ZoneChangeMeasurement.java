package coriandersill.bench.rollout;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;

/**
 * Prints how requests and the other zones are affected when an availability zone leaves service and returns.
 *
 * <p>The argument is the number of simulations for each set of parameters, by default 1000.
 */
public final class ZoneChangeMeasurement {
    private static final Map<String, ZoneChangeSimulation.Parameters> PARAMETERS_BY_NAME = new TreeMap<>(Map.of(
            "awaj, half in use", new ZoneChangeSimulation.Parameters(3, 3, 24, 0.5),
            "silverbend, half in use", new ZoneChangeSimulation.Parameters(3, 3, 18, 0.5),
            "awaj, four fifths in use", new ZoneChangeSimulation.Parameters(3, 3, 24, 0.8),
            "large model, 12 zones, 0.7 in use", new ZoneChangeSimulation.Parameters(12, 350, 1846, 0.7),
            "small model, 12 zones, 0.7 in use", new ZoneChangeSimulation.Parameters(12, 350, 100, 0.7)));

    private ZoneChangeMeasurement() {}

    /** Runs the simulations; see the class comment for the argument. */
    public static void main(String[] args) {
        int simulations = args.length > 0 ? Integer.parseInt(args[0]) : 1000;
        PARAMETERS_BY_NAME.forEach(
                (name, parameters) -> System.out.println(name + ": " + summary(run(parameters, simulations))));
    }

    /** Runs the simulations with seeds 0 to {@code simulations} - 1. */
    static List<ZoneChangeSimulation.Result> run(ZoneChangeSimulation.Parameters parameters, int simulations) {
        return LongStream.range(0, simulations)
                .mapToObj(seed -> ZoneChangeSimulation.run(parameters, seed))
                .toList();
    }

    private static String summary(List<ZoneChangeSimulation.Result> results) {
        double[] ratios = results.stream()
                .mapToDouble(ZoneChangeSimulation.Result::gapRatio)
                .sorted()
                .toArray();
        return String.format(
                Locale.ROOT,
                "interrupted %d, started late in the zone %d, retried %.1f and refused %.1f per simulation,"
                        + " p99 between tokens elsewhere median x%.3f worst x%.3f",
                results.stream()
                        .mapToLong(ZoneChangeSimulation.Result::interrupted)
                        .sum(),
                results.stream()
                        .mapToLong(ZoneChangeSimulation.Result::lateStarts)
                        .sum(),
                results.stream()
                        .mapToLong(ZoneChangeSimulation.Result::retried)
                        .average()
                        .orElse(0),
                results.stream()
                        .mapToLong(ZoneChangeSimulation.Result::refused)
                        .average()
                        .orElse(0),
                ratios[ratios.length / 2],
                Arrays.stream(ratios).max().orElse(0));
    }
}
