package coriandersill.daemon.embedded;

import coriandersill.standins.engine.EngineSettings;
import java.time.Duration;

/**
 * The size and behavior of an embedded cluster.
 *
 * @param zones the number of availability zones
 * @param entries the number of entries
 * @param engines the number of model engines, each with its sidecar
 * @param plainUpstreams the number of upstreams of the plain service, each with its sidecar
 * @param engine the behavior of the engines
 * @param plainDelay how long the plain service takes to respond to a call
 * @param maxConcurrency the maximum number of running requests of a warm engine
 * @param port the HTTP port of the first entry, the others use the following ports; 0 selects free ports
 * @param coldConcurrency the maximum number of running requests of a cold engine
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
    private static final int DEFAULT_COLD_CONCURRENCY = 8;

    /** Creates settings whose cold engines accept eight running requests, or {@code maxConcurrency} if that is less. */
    public EmbeddedClusterSettings(
            int zones,
            int entries,
            int engines,
            int plainUpstreams,
            EngineSettings engine,
            Duration plainDelay,
            int maxConcurrency,
            int port) {
        this(
                zones,
                entries,
                engines,
                plainUpstreams,
                engine,
                plainDelay,
                maxConcurrency,
                port,
                Math.min(DEFAULT_COLD_CONCURRENCY, maxConcurrency));
    }

    /** Returns a small cluster: two zones, two entries, two engines and one plain upstream. */
    public static EmbeddedClusterSettings small() {
        return new EmbeddedClusterSettings(2, 2, 2, 1, EngineSettings.fast(), Duration.ofMillis(2), 64, 0);
    }

    /**
     * Returns a cluster of the size of the larger of the current production deployments: three zones, two entries,
     * eight engines and three plain upstreams.
     */
    public static EmbeddedClusterSettings production() {
        return new EmbeddedClusterSettings(3, 2, 8, 3, EngineSettings.fast(), Duration.ofMillis(2), 64, 0);
    }

    /** Returns a copy with another engine behavior and the default maximum concurrency of cold engines. */
    public EmbeddedClusterSettings withEngine(EngineSettings other) {
        return new EmbeddedClusterSettings(
                zones, entries, engines, plainUpstreams, other, plainDelay, maxConcurrency, port);
    }

    /** Returns a copy with another port of the first entry and the default maximum concurrency of cold engines. */
    public EmbeddedClusterSettings withPort(int other) {
        return new EmbeddedClusterSettings(
                zones, entries, engines, plainUpstreams, engine, plainDelay, maxConcurrency, other);
    }

    /**
     * Returns a copy with another maximum concurrency of warm engines; that of cold engines becomes eight, or
     * {@code other} if that is less.
     */
    public EmbeddedClusterSettings withMaxConcurrency(int other) {
        return new EmbeddedClusterSettings(zones, entries, engines, plainUpstreams, engine, plainDelay, other, port);
    }

    /** Returns a copy whose engines accept their maximum concurrency from the start. */
    public EmbeddedClusterSettings withoutColdStart() {
        return new EmbeddedClusterSettings(
                zones, entries, engines, plainUpstreams, engine, plainDelay, maxConcurrency, port, maxConcurrency);
    }
}
