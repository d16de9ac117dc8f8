package coriandersill.cli;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import coriandersill.cli.internal.ConfigCommands;
import coriandersill.cli.internal.ExplainCommand;
import coriandersill.cli.internal.InspectCommands;
import coriandersill.cli.internal.RolloutCommands;
import coriandersill.cli.internal.ToolCommand;
import coriandersill.cli.internal.ZoneCommands;
import java.io.PrintStream;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The program behind {@code bin/coriandersill}.
 *
 * <pre>{@code
 * int status = Tool.run(System.out, System.err, "config", "show", "--platform", "127.0.0.1:7070");
 * }</pre>
 */
public final class Tool {
    private Tool() {}

    /** Runs one command and exits with its {@link ExitCode}. */
    @SuppressWarnings("SystemOut")
    public static void main(String[] arguments) {
        Logger.getLogger("").setLevel(Level.WARNING);
        System.exit(run(System.out, System.err, arguments));
    }

    /** Runs one command and returns the number of its {@link ExitCode}. */
    public static int run(PrintStream out, PrintStream err, String... arguments) {
        Runnable command;
        try {
            command = cli().parse(arguments);
        } catch (ParseException e) {
            err.println(e.getMessage() + "; run 'coriandersill help' for usage");
            return ExitCode.INVALID.number();
        }
        if (command instanceof ToolCommand tool) {
            return tool.execute(out, err).number();
        }
        command.run();
        return ExitCode.OK.number();
    }

    private static Cli<Runnable> cli() {
        CliBuilder<Runnable> builder = Cli.<Runnable>builder("coriandersill")
                .withDescription("Inspect and change a coriandersill deployment")
                .withDefaultCommand(Help.class)
                .withCommands(
                        Help.class,
                        InspectCommands.Upstreams.class,
                        InspectCommands.Workspaces.class,
                        InspectCommands.Audit.class,
                        InspectCommands.Events.class,
                        ExplainCommand.class);
        builder.withGroup("config")
                .withDescription("Validate, apply and show configuration documents")
                .withCommands(
                        ConfigCommands.Validate.class,
                        ConfigCommands.Apply.class,
                        ConfigCommands.Show.class,
                        ConfigCommands.History.class);
        builder.withGroup("zone")
                .withDescription("Show availability zones and take them in or out of service")
                .withCommands(ZoneCommands.Out.class, ZoneCommands.In.class, ZoneCommands.Status.class);
        builder.withGroup("rollout")
                .withDescription("Start, watch and roll back rollouts of service versions")
                .withCommands(
                        RolloutCommands.Start.class,
                        RolloutCommands.Status.class,
                        RolloutCommands.Wait.class,
                        RolloutCommands.Rollback.class);
        return builder.build();
    }
}
