package coriandersill.daemon;

import coriandersill.configuration.Problem;
import coriandersill.core.CallFailure;
import coriandersill.operations.Signals;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The program behind {@code bin/coriandersilld --settings FILE}.
 *
 * <p>Exit codes: 0 after a stop, 1 when the start fails, 2 for wrong arguments or settings, 3 when a second signal or
 * the drain's deadline ended it with work still running.
 */
public final class Main {
    private static final int EXIT_START_FAILED = 1;
    private static final int EXIT_WRONG_SETTINGS = 2;
    private static final int EXIT_CUT = 3;
    private static final Duration END_GRACE = Duration.ofSeconds(5);

    private Main() {}

    /** Runs the daemon until it is told to stop. */
    @SuppressWarnings("SystemOut")
    public static void main(String[] arguments) {
        PrintStream err = System.err;
        if (arguments.length != 2 || !arguments[0].equals("--settings")) {
            err.println("usage: coriandersilld --settings FILE");
            System.exit(EXIT_WRONG_SETTINGS);
        }
        SettingsReader.Result settings = SettingsReader.read(arguments[1], bytes(arguments[1], err));
        if (settings.settings().isEmpty()) {
            settings.problems().forEach(problem -> err.println(text(problem)));
            System.exit(EXIT_WRONG_SETTINGS);
        }
        run(settings.settings().get(), err);
    }

    private static byte[] bytes(String file, PrintStream err) {
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (IOException e) {
            err.println(file + ": expected a file that can be read, found " + e.getMessage());
            System.exit(EXIT_WRONG_SETTINGS);
            throw new IllegalStateException(e);
        }
    }

    private static String text(Problem problem) {
        String path = problem.path().isEmpty() ? "" : problem.path() + ": ";
        return problem.document() + ": " + path + "expected " + problem.expected() + ", found " + problem.found();
    }

    private static void run(DaemonSettings settings, PrintStream err) {
        Daemon daemon = Daemon.of(settings);
        AtomicBoolean stopping = new AtomicBoolean();
        Signals.onStop(() -> {
            if (stopping.compareAndSet(false, true)) {
                stop(daemon, settings.drainTimeout());
            } else {
                Runtime.getRuntime().halt(EXIT_CUT);
            }
        });
        try {
            daemon.start().join();
        } catch (CompletionException e) {
            err.println("start failed: " + CallFailure.from(e).getMessage());
            System.exit(EXIT_START_FAILED);
        }
    }

    private static void stop(Daemon daemon, Duration drain) {
        daemon.stop(drain)
                .orTimeout(drain.plus(END_GRACE).toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((done, error) -> Runtime.getRuntime().halt(error == null ? 0 : EXIT_CUT));
    }
}
