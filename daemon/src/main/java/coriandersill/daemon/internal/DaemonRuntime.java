package coriandersill.daemon.internal;

import coriandersill.core.ManagedService;
import coriandersill.daemon.DaemonSettings;
import coriandersill.events.EventCode;
import coriandersill.operations.OperationsServer;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** A role on its host, with the listener for operators. */
public final class DaemonRuntime implements ManagedService {
    private final DaemonResources host;
    private final RoleAssembly role;
    private final OperationsServer operations;

    private DaemonRuntime(DaemonSettings settings) {
        this.host = new DaemonResources(settings);
        this.role = assemble(host, settings);
        this.operations = OperationsServer.create(
                        host.vertx(),
                        settings.operations().host(),
                        settings.operations().port(),
                        host.metrics(),
                        role::notReadyReason)
                .page("/status", role::status);
    }

    private static RoleAssembly assemble(DaemonResources host, DaemonSettings settings) {
        if (settings.role() instanceof DaemonSettings.EntryRole entry) {
            return new EntryAssembly(host, settings, entry);
        }
        return new SidecarAssembly(host, settings, (DaemonSettings.SidecarRole) settings.role());
    }

    /** Returns a daemon that is not started. */
    public static DaemonRuntime of(DaemonSettings settings) {
        return new DaemonRuntime(settings);
    }

    /** The port for operators, once started. */
    public int operationsPort() {
        return operations.port();
    }

    /** The port for callers, once started; -1 for a sidecar. */
    public int httpPort() {
        return role.status().getInteger("http_port", -1);
    }

    /** What an operator sees. */
    public JsonObject status() {
        return role.status();
    }

    /** Why the daemon is not ready, or null. */
    public String notReadyReason() {
        return role.notReadyReason();
    }

    @Override
    public CompletableFuture<Void> start() {
        return host.start()
                .thenCompose(done -> role.start())
                .thenCompose(done -> operations.start())
                .thenRun(() ->
                        host.events().record(EventCode.DAEMON_READY, Map.of("operations_port", operations.port())));
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        return role.stop(grace)
                .thenRun(() -> host.events().record(EventCode.DAEMON_STOPPED, Map.of()))
                .thenCompose(done -> operations.stop(grace))
                .thenCompose(done -> host.stop(grace));
    }
}
