package coriandersill.standins;

import coriandersill.core.ManagedService;
import coriandersill.standins.engine.EngineSettings;
import coriandersill.standins.engine.EngineStandIn;
import coriandersill.standins.engine.PlainStandIn;
import coriandersill.standins.platform.InMemoryLog;
import coriandersill.standins.platform.PlatformServer;
import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.time.Duration;
import java.time.InstantSource;

/**
 * Runs a stand-in as a separate process. Arguments: {@code platform|engine|plain HOST PORT [STEP_MILLIS]}.
 *
 * <p>{@code STEP_MILLIS} is the duration of one decoding step of an engine; the others ignore it.
 */
public final class StandInMain {
    private static final int USAGE_EXIT_CODE = 2;

    private StandInMain() {}

    /** Starts the stand-in, which runs until the process is killed. */
    @SuppressWarnings("SystemOut")
    public static void main(String[] arguments) {
        PrintStream out = System.out;
        if (arguments.length < 3) {
            out.println("usage: coriandersill-standin platform|engine|plain HOST PORT [STEP_MILLIS]");
            System.exit(USAGE_EXIT_CODE);
        }
        Vertx vertx = Vertx.vertx();
        ManagedService service = createService(vertx, arguments);
        service.start().join();
        out.println("ready");
    }

    private static ManagedService createService(Vertx vertx, String[] arguments) {
        String host = arguments[1];
        int port = Integer.parseInt(arguments[2]);
        return switch (arguments[0]) {
            case "platform" -> PlatformServer.create(vertx, host, port, InMemoryLog.of(InstantSource.system()));
            case "engine" -> EngineStandIn.create(vertx, host, port, engineSettings(arguments));
            case "plain" -> PlainStandIn.create(vertx, host, port, Duration.ofMillis(2));
            default -> throw new IllegalArgumentException(
                    "stand-in: expected platform, engine or plain, found " + arguments[0]);
        };
    }

    private static EngineSettings engineSettings(String[] arguments) {
        EngineSettings settings = EngineSettings.fast();
        return arguments.length < 4
                ? settings
                : settings.withStepInterval(Duration.ofMillis(Long.parseLong(arguments[3])));
    }
}
