package coriandersill.soak;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;

/** Command that runs soak tests with new seeds, or repeats one seed. */
@Command(name = "coriandersill-soak", description = "Runs entries under random faults and checks what callers see")
public final class SoakCommand {
    private static final int USAGE_EXIT_CODE = 2;
    private static final int SEED_UNSET = -1;

    @Option(name = "--seed", description = "the first seed; drawn by default")
    private long seed = SEED_UNSET;

    @Option(name = "--runs", description = "how many seeds, one after another (default 1)")
    private int runs = 1;

    @Option(name = "--seconds", description = "how long faults come in each run (default 20)")
    private int faultSeconds = 20;

    @Option(name = "--minutes", description = "goes on with further seeds for so long, whatever --runs says")
    private int minMinutes;

    @Option(name = "--entries", description = "how many entries (default 3)")
    private int entries = 3;

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
        long first = seed == SEED_UNSET ? ThreadLocalRandom.current().nextInt(Integer.MAX_VALUE) : seed;
        long end = System.nanoTime() + Duration.ofMinutes(minMinutes).toNanos();
        int failed = 0;
        int done = 0;
        while (done < runs || System.nanoTime() < end) {
            long current = first + done++;
            Soak.Report report =
                    Soak.of(current, entries, Duration.ofSeconds(faultSeconds)).run();
            System.out.println("seed " + current + ": " + report.calls() + " calls, " + report.succeeded()
                    + " succeeded, " + report.faults().size() + " faults, "
                    + report.violations().size() + " violations");
            if (!report.violations().isEmpty()) {
                failed++;
                report.faults().forEach(System.out::println);
                report.violations().forEach(System.out::println);
                System.out.println("logs: " + report.logDirectory());
            }
        }
        System.out.println(done + " runs, " + failed + " with violations");
        return failed == 0 ? 0 : 1;
    }
}
