package coriandersill.bench.configuration;

import java.time.Duration;
import java.util.List;

/**
 * Runs the configuration measurements.
 *
 * <p>Arguments: {@code memory}, {@code fold} (the cost of applying a change), {@code recovery}, or {@code fanout
 * READERS CHANGES INTERVAL_MS DELAY_MS}.
 */
public final class ConfigurationMeasurements {
    private ConfigurationMeasurements() {}

    /** Runs the measurement named by the first argument and prints its results. */
    public static void main(String[] args) throws Exception {
        StateMeasurement state = new StateMeasurement();
        switch (args.length == 0 ? "" : args[0]) {
            case "memory" -> state.measureMemory();
            case "fold" -> state.measureApplyCost();
            case "recovery" -> state.measureRecovery();
            case "fanout" -> new FanoutMeasurement()
                    .run(new FanoutMeasurement.Plan(
                            Integer.parseInt(args[1]),
                            Integer.parseInt(args[2]),
                            Duration.ofMillis(Long.parseLong(args[3])),
                            Duration.ofMillis(Long.parseLong(args[4]))));
            default -> throw new IllegalArgumentException(
                    "arguments: expected memory, fold, recovery or fanout READERS CHANGES INTERVAL_MS DELAY_MS, found "
                            + List.of(args));
        }
    }
}
