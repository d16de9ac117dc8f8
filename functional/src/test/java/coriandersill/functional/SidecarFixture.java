package coriandersill.functional;

import com.codahale.metrics.MetricRegistry;
import coriandersill.admission.FixedLimitAdmission;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.sidecar.PingSource;
import coriandersill.sidecar.Sidecar;
import coriandersill.sidecar.SidecarSettings;
import coriandersill.wire.WireEventLoops;
import coriandersill.workers.WorkerPool;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

/** Runs a sidecar beside an upstream of the test, and the connections to it on which the test acts as an entry. */
final class SidecarFixture implements AutoCloseable {
    private static final Duration STOP_TIMEOUT = Duration.ofMillis(100);

    final Vertx vertx = Vertx.vertx();
    final MetricRegistry metrics = new MetricRegistry();
    private final WireEventLoops eventLoops = WireEventLoops.of(1);
    private final WorkerPool workers = WorkerPool.of("test", 2, 100);
    private final List<RecordingEntry> connections = new ArrayList<>();
    private Sidecar sidecar;

    /** Starts the sidecar, which gives the upstream at {@code upstreamPort} {@code concurrency} calls at a time. */
    void start(int upstreamPort, int concurrency) {
        start(upstreamPort, builder -> builder.admission(FixedLimitAdmission.of(concurrency)));
    }

    /** Starts the sidecar with a source of what its pings say. */
    void start(int upstreamPort, int concurrency, PingSource pingSource) {
        start(upstreamPort, builder -> builder.admission(FixedLimitAdmission.of(concurrency))
                .pingSource(pingSource));
    }

    /** Starts the sidecar with components of the test, of which the admission controller is required. */
    void start(int upstreamPort, UnaryOperator<Sidecar.Builder> components) {
        SidecarSettings settings = new SidecarSettings(
                RecordingEntry.wireSettings("sidecar", "sidecar-1"),
                "127.0.0.1",
                0,
                ServiceName.of("scribe"),
                VersionName.of("v1"),
                "127.0.0.1",
                upstreamPort,
                Duration.ofSeconds(30));
        sidecar = components
                .apply(Sidecar.builder(settings, vertx, eventLoops, workers).metrics(metrics))
                .build();
        sidecar.start().join();
    }

    Sidecar sidecar() {
        return sidecar;
    }

    /** Connects to the sidecar as an entry. */
    RecordingEntry connect() {
        RecordingEntry entry = RecordingEntry.connect(eventLoops, sidecar.port());
        connections.add(entry);
        return entry;
    }

    @Override
    public void close() {
        connections.forEach(RecordingEntry::disconnect);
        sidecar.stop(STOP_TIMEOUT).join();
        eventLoops.stop(STOP_TIMEOUT).join();
        vertx.close().toCompletionStage().toCompletableFuture().join();
        workers.stop(Duration.ZERO);
    }
}
