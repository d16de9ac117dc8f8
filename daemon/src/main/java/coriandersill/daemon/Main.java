package coriandersill.daemon;

import coriandersill.configuration.Problem;
import coriandersill.core.CallFailure;
import coriandersill.operations.SignalHandlers;
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
 * <p>Exit codes: 0 after a regular stop, 1 if the start failed, 2 for invalid arguments or settings, 3 if a second
 * signal ended the process, or if stopping failed or took longer than the drain timeout plus 5 s.
 */
public final class Main {
    private static final int EXIT_START_FAILED = 1;
    private static final int EXIT_INVALID_SETTINGS = 2;
    private static final int EXIT_FORCED = 3;

    /** How long closing connections and stopping may take in addition to the drain timeout. */
    private static final Duration STOP_MARGIN = Duration.ofSeconds(5);

    private Main() {}

    /** Runs the daemon until the process receives a stop signal. */
    @SuppressWarnings("SystemOut")
    public static void main(String[] arguments) {
        PrintStream err = System.err;
        if (arguments.length != 2 || !arguments[0].equals("--settings")) {
            err.println("usage: coriandersilld --settings FILE");
            System.exit(EXIT_INVALID_SETTINGS);
        }
        SettingsReader.Result result = SettingsReader.read(arguments[1], readFile(arguments[1], err));
        if (result.settings().isEmpty()) {
            result.problems().forEach(problem -> err.println(describe(problem)));
            System.exit(EXIT_INVALID_SETTINGS);
        }
        run(result.settings().get(), err);
    }

    private static byte[] readFile(String file, PrintStream err) {
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (IOException e) {
            err.println(
                    "cannot read settings file " + file + ": " + e.getClass().getSimpleName());
            System.exit(EXIT_INVALID_SETTINGS);
            // Unreachable: exit() does not return.
            throw new IllegalStateException(e);
        }
    }

    private static String describe(Problem problem) {
        String path = problem.path().isEmpty() ? "" : problem.path() + ": ";
        return problem.document() + ": " + path + "expected " + problem.expected() + ", found " + problem.found();
    }

    private static void run(DaemonSettings settings, PrintStream err) {
        Daemon daemon = Daemon.of(settings);
        AtomicBoolean stopping = new AtomicBoolean();
        SignalHandlers.onTermination(() -> {
            if (stopping.compareAndSet(false, true)) {
                stop(daemon, settings.drainTimeout());
            } else {
                Runtime.getRuntime().halt(EXIT_FORCED);
            }
        });
        try {
            daemon.start().join();
        } catch (CompletionException e) {
            err.println("daemon failed to start: " + CallFailure.from(e).getMessage());
            System.exit(EXIT_START_FAILED);
        }
    }

    private static void stop(Daemon daemon, Duration drainTimeout) {
        daemon.stop(drainTimeout)
                .orTimeout(drainTimeout.plus(STOP_MARGIN).toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((done, error) -> Runtime.getRuntime().halt(error == null ? 0 : EXIT_FORCED));
    }
}
