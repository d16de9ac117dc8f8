package coriandersill.soak;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;

/** Command that runs soak tests with consecutive seeds, starting with a random or a given one. */
@Command(
        name = "coriandersill-soak",
        description = "Runs entries under random faults and checks the guarantees given to callers")
public final class SoakCommand {
    private static final int USAGE_EXIT_CODE = 2;

    /** Stands for a random seed. */
    private static final int SEED_UNSET = -1;

    @Option(name = "--seed", description = "seed of the first run; each further run adds 1 (default: random)")
    private long seed = SEED_UNSET;

    @Option(name = "--runs", description = "number of runs (default 1)")
    private int runs = 1;

    @Option(name = "--seconds", description = "seconds of fault injection in each run (default 20)")
    private int faultSeconds = 20;

    @Option(
            name = "--minutes",
            description = "starts further runs until this many minutes have passed, even after --runs runs (default 0)")
    private int minMinutes;

    @Option(name = "--entries", description = "number of entry processes (default 3)")
    private int entryCount = 3;

    @Option(
            name = "--kind",
            description =
                    "kind of faults: general, departures, expiries, floods, stops, overlaps or moves (default general)")
    private String kind = FaultKind.GENERAL.name();

    @Option(
            name = "--entry-classpath",
            description = "class path of another build, for the entries (default: this build)")
    private String entryClassPath = EntryProcess.ownClassPath();

    /** Runs the command; exits with 1 if a guarantee was violated, and with 2 for invalid arguments. */
    public static void main(String[] args) throws Exception {
        try {
            System.exit(
                    SingleCommand.singleCommand(SoakCommand.class).parse(args).run());
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.exit(USAGE_EXIT_CODE);
        }
    }

    private int run() throws Exception {
        long firstSeed = seed == SEED_UNSET ? ThreadLocalRandom.current().nextInt(Integer.MAX_VALUE) : seed;
        long deadlineNanos = System.nanoTime() + Duration.ofMinutes(minMinutes).toNanos();
        FaultKind faultKind = FaultKind.valueOf(kind.toUpperCase(Locale.ROOT));
        int failedRuns = 0;
        int startedRuns = 0;
        while (startedRuns < runs || System.nanoTime() < deadlineNanos) {
            long currentSeed = firstSeed + startedRuns++;
            Soak.Report report = Soak.of(faultKind, currentSeed, entryCount, Duration.ofSeconds(faultSeconds))
                    .withEntriesOf(entryClassPath)
                    .run();
            System.out.println("seed " + currentSeed + ": " + report.calls() + " calls, " + report.succeeded()
                    + " succeeded, " + report.faults().size() + " faults, "
                    + report.violations().size() + " violations");
            report.entrySummaries().forEach(System.out::println);
            if (!report.violations().isEmpty()) {
                failedRuns++;
                report.faults().forEach(System.out::println);
                report.violations().forEach(System.out::println);
                System.out.println("logs: " + report.logDirectory());
            }
        }
        System.out.println(startedRuns + " runs, " + failedRuns + " with violations");
        return failedRuns == 0 ? 0 : 1;
    }
}
