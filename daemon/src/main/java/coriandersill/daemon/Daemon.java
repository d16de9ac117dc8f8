package coriandersill.daemon;

import coriandersill.core.ManagedService;
import coriandersill.daemon.internal.DaemonRuntime;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * One daemon: an entry or a sidecar, by its settings.
 *
 * <pre>{@code
 * Daemon daemon = Daemon.of(settings);
 * daemon.start().join();
 * ...
 * daemon.stop(settings.drain()).join();
 * }</pre>
 */
public final class Daemon implements ManagedService {
    private final DaemonRuntime running;

    private Daemon(DaemonSettings settings) {
        this.running = DaemonRuntime.of(settings);
    }

    /** Returns a daemon that is not started. */
    public static Daemon of(DaemonSettings settings) {
        return new Daemon(settings);
    }

    /** The port of its listener for health, metrics and status, once started. */
    public int operationsPort() {
        return running.operationsPort();
    }

    /** The port of its listener for callers, once started; -1 for a sidecar. */
    public int httpPort() {
        return running.httpPort();
    }

    /** What an operator sees of it, as on its page {@code /status}. */
    public JsonObject status() {
        return running.status();
    }

    /** Why it is not ready, or null when it is. */
    public String notReadyReason() {
        return running.notReadyReason();
    }

    @Override
    public CompletableFuture<Void> start() {
        return running.start();
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        return running.stop(grace);
    }
}
