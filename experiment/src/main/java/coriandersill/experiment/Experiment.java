package coriandersill.experiment;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongFunction;

/** The command that compares routing and admission policies by simulation and prints the results. */
@Command(
        name = "coriandersill-experiment",
        description = "Compares routing and admission policies on modelled engines in virtual time")
public final class Experiment {
    private static final int[] LOAD_PERCENTS = {70, 90, 100, 110};
    /** The factor by which the flooding workspace exceeds its usual rate. */
    private static final double FLOOD_FACTOR = 10;

    /**
     * The cap of the flooding workspace as a fraction of the load without the flood, of which this workspace sends
     * 1/14.
     */
    private static final double FLOOD_CAP_FRACTION = 0.1;

    private static final double FLOOD_LOAD_FRACTION = 0.9;
    private static final int USAGE_EXIT_CODE = 2;

    @Option(name = "--deployment", description = "awaj, silverbend or both (default)")
    private String deployment = "both";

    @Option(name = "--seeds", description = "number of seeds per comparison, starting at 1 (default 5)")
    private int seeds = 5;

    @Option(
            name = "--seconds",
            description =
                    "measured time of each run in seconds (default 120); always 30 in runs in which a zone leaves")
    private int seconds = 120;

    @Option(name = "--threads", description = "number of concurrent simulations (default 3)")
    private int threads = 3;

    @Option(name = "--out", description = "directory for the CSV files (default experiment/target/results)")
    private String out = "experiment/target/results";

    @Option(
            name = "--slow-engines",
            description =
                    "compare only how soon entries know of a slow engine, with this many seeds (default 0: do not)")
    private int slowEngineSeeds;

    @Option(
            name = "--quiet-times",
            description =
                    "compare only what entries do with a worker's wish for no requests, with this many seeds (default"
                            + " 0: do not)")
    private int quietTimeSeeds;

    /** Creates the command with the default options; the argument parser sets the others. */
    public Experiment() {}

    /** Parses the options and runs the comparisons; exits with code 2 if an option is invalid. */
    public static void main(String[] args) {
        try {
            SingleCommand.singleCommand(Experiment.class).parse(args).run();
        } catch (ParseException | IllegalArgumentException e) {
            System.err.println(e.getMessage());
            System.exit(USAGE_EXIT_CODE);
        }
    }

    private void run() {
        if (slowEngineSeeds > 0) {
            new SlowEngineComparison(System.out, slowEngineSeeds).run();
            return;
        }
        if (quietTimeSeeds > 0) {
            new QuietTimeComparison(System.out, quietTimeSeeds).run();
            return;
        }
        SimulationRunner runner = new SimulationRunner(threads, seeds, Duration.ofSeconds(seconds));
        for (Deployment target : deployments()) {
            compare(runner, target);
        }
    }

    private List<Deployment> deployments() {
        return switch (deployment) {
            case "awaj" -> List.of(Deployment.awaj());
            case "silverbend" -> List.of(Deployment.silverbend());
            case "both" -> List.of(Deployment.awaj(), Deployment.silverbend());
            default -> throw new IllegalArgumentException(
                    "--deployment: expected awaj, silverbend or both, found \"" + deployment + "\"");
        };
    }

    private void compare(SimulationRunner runner, Deployment target) {
        SustainableLoad sustainable = new SustainableLoad(runner, target);
        double sustainableRate = sustainable.tokensPerSecond();
        System.out.printf(
                Locale.ROOT, "%n%s sustains %.0f tokens/s; %d seeds%n", target.name(), sustainableRate, seeds);
        ResultTable table = new ResultTable(System.out, target.name());
        for (int load : LOAD_PERCENTS) {
            double rate = sustainableRate * load / 100;
            List<CompletableFuture<Summary>> runs = new ArrayList<>();
            for (PolicySet policies : PolicySets.variants(target.engineSpec(), sustainable.bestLimit(rate))) {
                runs.add(runner.run(target, rate, policies)
                        .thenApply(results -> new Summary(policies.name(), load, results)));
            }
            runs.forEach(run -> table.add(run.join()));
        }
        compareFloods(runner, target, sustainableRate, table);
        new FaultComparison(runner, target, table).run(sustainableRate);
        table.write(Path.of(out), target.name() + ".csv");
    }

    /**
     * Compares runs in which one workspace sends its usual traffic or ten times as much, with and without a cap. The
     * load without the flood is 90% of the sustainable load.
     */
    private void compareFloods(SimulationRunner runner, Deployment target, double sustainableRate, ResultTable table) {
        PolicySet standard = PolicySets.standard(target.engineSpec());
        double rate = sustainableRate * FLOOD_LOAD_FRACTION;
        int loadPercent = (int) Math.round(FLOOD_LOAD_FRACTION * 100);
        for (double floodFactor : new double[] {1, FLOOD_FACTOR}) {
            for (double capFraction : new double[] {0, FLOOD_CAP_FRACTION}) {
                LongFunction<RunSettings> settings = seed -> runner.settings(target, rate, floodFactor, seed)
                        .withCaps(SimulationRunner.capOfFloodingWorkspace(capFraction * rate));
                String name = String.format(Locale.ROOT, "flood x%.0f, cap %.0f%%", floodFactor, capFraction * 100);
                Summary summary = new Summary(
                        name, loadPercent, runner.run(settings, standard).join());
                table.add(summary);
                table.note(String.format(
                        Locale.ROOT,
                        "other workspaces: first token p99 %.0f ms, between tokens p99 %.1f ms",
                        summary.mean(
                                result -> result.firstTokenOtherWorkspaces().p99()),
                        summary.mean(
                                result -> result.betweenTokensOtherWorkspaces().p99())));
            }
        }
    }
}
