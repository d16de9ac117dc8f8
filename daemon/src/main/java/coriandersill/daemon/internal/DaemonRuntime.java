package coriandersill.daemon.internal;

import coriandersill.core.ManagedService;
import coriandersill.daemon.DaemonSettings;
import coriandersill.events.EventCode;
import coriandersill.operations.LoopMetrics;
import coriandersill.operations.OperationsServer;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Runs one role on the shared resources of the process, together with the operations server; the implementation of
 * {@link coriandersill.daemon.Daemon}.
 */
public final class DaemonRuntime implements ManagedService {
    private final DaemonResources resources;
    private final RoleAssembly role;
    private final OperationsServer operations;

    private DaemonRuntime(DaemonSettings settings) {
        this.resources = new DaemonResources(settings);
        this.role = assemble(resources, settings);
        LoopMetrics.register(resources.loops(), resources.metrics());
        this.operations = OperationsServer.create(
                        resources.vertx(),
                        settings.operations().host(),
                        settings.operations().port(),
                        resources.metrics(),
                        role::notReadyReason)
                .events(resources.events())
                .page("/status", role::status);
    }

    private static RoleAssembly assemble(DaemonResources resources, DaemonSettings settings) {
        if (settings.role() instanceof DaemonSettings.EntryRole entry) {
            return new EntryAssembly(resources, settings, entry);
        }
        return new SidecarAssembly(resources, settings, (DaemonSettings.SidecarRole) settings.role());
    }

    /** Creates a runtime without starting it. */
    public static DaemonRuntime of(DaemonSettings settings) {
        return new DaemonRuntime(settings);
    }

    /** Returns the port of the operations server; valid once started. */
    public int operationsPort() {
        return operations.port();
    }

    /** Returns the port for callers, valid once started; -1 for a sidecar. */
    public int httpPort() {
        return role.status().getInteger("http_port", -1);
    }

    /** Returns the status of the role. */
    public JsonObject status() {
        return role.status();
    }

    /** Returns why the daemon is not ready, or null if it is ready. */
    public String notReadyReason() {
        return role.notReadyReason();
    }

    @Override
    public CompletableFuture<Void> start() {
        return resources
                .start()
                .thenCompose(done -> role.start())
                .thenCompose(done -> operations.start())
                .thenRun(() -> resources
                        .events()
                        .record(EventCode.DAEMON_READY, Map.of("operations_port", operations.port())));
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        return role.stop(grace)
                .thenRun(() -> resources.events().record(EventCode.DAEMON_STOPPED, Map.of()))
                .thenCompose(done -> operations.stop(grace))
                .thenCompose(done -> resources.stop(grace));
    }
}
