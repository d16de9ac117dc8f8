package coriandersill.bench.path;

import coriandersill.daemon.embedded.EmbeddedCluster;
import coriandersill.daemon.embedded.EmbeddedClusterSettings;
import coriandersill.standins.engine.EngineSettings;
import java.io.PrintStream;
import java.time.Duration;
import java.util.Locale;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Streams generations directly from the stand-in engines and through entries and sidecars, and prints for both paths
 * the time to the first token, the lateness of the tokens as defined by {@link StreamLoad}, and the CPU time.
 *
 * <p>Arguments: the numbers of concurrent streams; {@code 1 100 2000} by default.
 */
public final class PathOverhead {
    private static final int STEP_MILLIS = 50;
    private static final int TOKENS = 100;
    private static final int ENGINES = 8;

    private PathOverhead() {}

    /** Runs the comparison and prints a table. */
    @SuppressWarnings("SystemOut")
    public static void main(String[] arguments) {
        Logger.getLogger("").setLevel(Level.SEVERE);
        PrintStream out = System.out;
        int[] streamCounts = arguments.length == 0 ? new int[] {1, 100, 2_000} : parse(arguments);
        EngineSettings engine = EngineSettings.fast().withStepInterval(Duration.ofMillis(STEP_MILLIS));
        EmbeddedClusterSettings settings = new EmbeddedClusterSettings(
                        3, 2, ENGINES, 1, engine, Duration.ofMillis(2), 4_000, 0)
                .withoutColdStart();
        EmbeddedCluster cluster = EmbeddedCluster.create(settings);
        cluster.start().join();
        cluster.whenReady().join();
        int[] enginePorts =
                cluster.engines().stream().mapToInt(standIn -> standIn.port()).toArray();
        int[] entryPorts = {cluster.entryPort(0), cluster.entryPort(1)};
        StreamLoad warmUp = new StreamLoad(entryPorts, cluster.apiKey(), TOKENS);
        warmUp.run(200);
        out.println("streams path    failed firstTokenMs(p50 p99) lateMs(p50 p99 max) tokens/s cpu-us/token");
        for (int count : streamCounts) {
            print(out, count, "direct ", new StreamLoad(enginePorts, cluster.apiKey(), TOKENS).run(count));
            print(out, count, "through", new StreamLoad(entryPorts, cluster.apiKey(), TOKENS).run(count));
        }
        cluster.stop(Duration.ofSeconds(1)).join();
        System.exit(0);
    }

    private static int[] parse(String[] arguments) {
        int[] streamCounts = new int[arguments.length];
        for (int i = 0; i < arguments.length; i++) {
            streamCounts[i] = Integer.parseInt(arguments[i]);
        }
        return streamCounts;
    }

    private static void print(PrintStream out, int streams, String path, StreamLoad.Result result) {
        out.println(String.format(
                Locale.ROOT,
                "%7d %s %6d %8.2f %8.2f        %6.2f %6.2f %6.2f %10.0f %8.1f",
                streams,
                path,
                result.failedStreams(),
                millis(result.firstTokenMicros().getValueAtPercentile(50)),
                millis(result.firstTokenMicros().getValueAtPercentile(99)),
                millis(result.latenessMicros().getValueAtPercentile(50)),
                millis(result.latenessMicros().getValueAtPercentile(99)),
                millis(result.latenessMicros().getMaxValue()),
                result.tokensPerSecond(),
                result.cpuMicrosPerToken()));
    }

    private static double millis(long micros) {
        return micros / 1_000.0;
    }
}
