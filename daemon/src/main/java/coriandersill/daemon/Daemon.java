package coriandersill.daemon;

import coriandersill.core.ManagedService;
import coriandersill.daemon.internal.DaemonRuntime;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * A daemon that runs as an entry or a sidecar, depending on its settings.
 *
 * <pre>{@code
 * Daemon daemon = Daemon.of(settings);
 * daemon.start().join();
 * ...
 * daemon.stop(settings.drainTimeout()).join();
 * }</pre>
 */
public final class Daemon implements ManagedService {
    private final DaemonRuntime runtime;
    private CompletableFuture<Void> stopResult;

    private Daemon(DaemonSettings settings) {
        this.runtime = DaemonRuntime.of(settings);
    }

    /** Creates a daemon without starting it. */
    public static Daemon of(DaemonSettings settings) {
        return new Daemon(settings);
    }

    /** Returns the port for health, metrics and status; valid once started. */
    public int operationsPort() {
        return runtime.operationsPort();
    }

    /** Returns the port for callers, valid once started; -1 for a sidecar. */
    public int httpPort() {
        return runtime.httpPort();
    }

    /** Returns the JSON object that the operations server returns at {@code /status}. */
    public JsonObject status() {
        return runtime.status();
    }

    /** Returns why the daemon is not ready, or null if it is ready. */
    public String notReadyReason() {
        return runtime.notReadyReason();
    }

    @Override
    public CompletableFuture<Void> start() {
        return runtime.start();
    }

    /** Stops the daemon; a further call returns the result of the first. */
    @Override
    public synchronized CompletableFuture<Void> stop(Duration grace) {
        if (stopResult == null) {
            stopResult = runtime.stop(grace);
        }
        return stopResult;
    }
}
