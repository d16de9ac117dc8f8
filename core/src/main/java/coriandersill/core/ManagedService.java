package coriandersill.core;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** A component that owns threads, sockets or timers and is started and stopped once. */
public interface ManagedService {

    /** Starts the service; the future completes when it is ready, or fails with a {@link CallFailure}. */
    CompletableFuture<Void> start();

    /**
     * Stops the service: rejects new work immediately, waits up to {@code grace} for running work to complete, then
     * cancels the rest. Further invocations have no effect.
     */
    CompletableFuture<Void> stop(Duration grace);
}
