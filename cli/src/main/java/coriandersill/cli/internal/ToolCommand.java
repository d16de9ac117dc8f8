package coriandersill.cli.internal;

import com.github.rvesse.airline.annotations.Option;
import coriandersill.cli.ExitCode;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import java.io.PrintStream;
import java.util.concurrent.CompletionException;

/** Base class of all commands: platform address, output format, and mapping of failures to exit codes. */
public abstract class ToolCommand implements Runnable {
    private static final String PLATFORM_VARIABLE = "CORIANDERSILL_PLATFORM";
    private static final String DEFAULT_PLATFORM = "127.0.0.1:7070";

    @Option(
            name = "--platform",
            title = "HOST:PORT",
            description = "Address of the platform's services (default: $" + PLATFORM_VARIABLE + ", or "
                    + DEFAULT_PLATFORM + " if it is not set)")
    private String platform;

    @Option(name = "--json", description = "Print the result as JSON")
    private boolean json;

    @Option(
            name = "--timeout",
            title = "SECONDS",
            description =
                    "Maximum time in seconds to wait for a response from the platform, and for the condition awaited by"
                            + " --wait or 'rollout wait' (default: 30)")
    private int timeoutSeconds = 30;

    /**
     * Always throws; commands are run with {@link #execute}. {@link Runnable} is the type that the commands have in
     * common with the help command of the parser's library.
     */
    @Override
    public final void run() {
        throw new IllegalStateException("a command is run by execute(PrintStream, PrintStream), not by run()");
    }

    /** Runs the command. */
    public final ExitCode execute(PrintStream out, PrintStream err) {
        Output output = new Output(out, err, json);
        try (Session session = Session.open(platformAddress(), timeoutSeconds)) {
            return run(session, output);
        } catch (CompletionException | CallFailure e) {
            CallFailure failure = CallFailure.from(e);
            output.printFailure(failure.kind().name() + ": " + failure.getMessage());
            return failure.kind() == ErrorKind.LOG_UNAVAILABLE || failure.kind() == ErrorKind.UNAVAILABLE
                    ? ExitCode.UNAVAILABLE
                    : ExitCode.FAILED;
        } catch (IllegalArgumentException e) {
            output.printFailure(e.getMessage());
            return ExitCode.INVALID;
        }
    }

    /** Runs the command on an open session, prints its result and returns the exit code. */
    abstract ExitCode run(Session session, Output output);

    int timeoutSeconds() {
        return timeoutSeconds;
    }

    private String platformAddress() {
        if (platform != null) {
            return platform;
        }
        String variable = System.getenv(PLATFORM_VARIABLE);
        return variable == null ? DEFAULT_PLATFORM : variable;
    }
}
