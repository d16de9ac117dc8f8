package coriandersill.daemon.embedded;

import coriandersill.standins.engine.EngineSettings;
import java.time.Duration;

/**
 * What an embedded set consists of.
 *
 * @param zones how many availability zones
 * @param entries how many entries
 * @param engines how many model engines, each with its sidecar
 * @param plainUpstreams how many upstreams of the plain service, each with its sidecar
 * @param engine how the engines behave
 * @param plainDelay how long the plain service takes for a call
 * @param maxConcurrency running requests that a warm engine bears
 * @param port the port of the first entry; 0 takes any free one
 * @param coldConcurrency running requests that a cold engine bears
 */
public record EmbeddedClusterSettings(
        int zones,
        int entries,
        int engines,
        int plainUpstreams,
        EngineSettings engine,
        Duration plainDelay,
        int maxConcurrency,
        int port,
        int coldConcurrency) {
    private static final int USUAL_COLD_CONCURRENCY = 8;

    /** Creates a set whose cold engines bear eight running requests, or fewer when warm ones do. */
    public EmbeddedClusterSettings(
            int zones,
            int entries,
            int engines,
            int plainUpstreams,
            EngineSettings engine,
            Duration plainDelay,
            int concurrency,
            int port) {
        this(
                zones,
                entries,
                engines,
                plainUpstreams,
                engine,
                plainDelay,
                concurrency,
                port,
                Math.min(USUAL_COLD_CONCURRENCY, concurrency));
    }

    /** Returns a small set: two zones, two entries, two engines and one plain upstream. */
    public static EmbeddedClusterSettings small() {
        return new EmbeddedClusterSettings(2, 2, 2, 1, EngineSettings.fast(), Duration.ofMillis(2), 64, 0);
    }

    /** Returns the set of today's larger deployment: three zones, two entries, eight engines, three plain upstreams. */
    public static EmbeddedClusterSettings deployment() {
        return new EmbeddedClusterSettings(3, 2, 8, 3, EngineSettings.fast(), Duration.ofMillis(2), 64, 0);
    }

    /** Returns the same set with engines that behave otherwise. */
    public EmbeddedClusterSettings withEngine(EngineSettings other) {
        return new EmbeddedClusterSettings(
                zones, entries, engines, plainUpstreams, other, plainDelay, maxConcurrency, port);
    }

    /** Returns the same set with the first entry at a port. */
    public EmbeddedClusterSettings withPort(int other) {
        return new EmbeddedClusterSettings(
                zones, entries, engines, plainUpstreams, engine, plainDelay, maxConcurrency, other);
    }

    /** Returns the same set with engines that bear another number of running requests. */
    public EmbeddedClusterSettings withMaxConcurrency(int other) {
        return new EmbeddedClusterSettings(zones, entries, engines, plainUpstreams, engine, plainDelay, other, port);
    }

    /** Returns the same set with engines that bear their full number from the start. */
    public EmbeddedClusterSettings withoutColdStart() {
        return new EmbeddedClusterSettings(
                zones, entries, engines, plainUpstreams, engine, plainDelay, maxConcurrency, port, maxConcurrency);
    }
}
