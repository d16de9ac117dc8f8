package coriandersill.core;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** A part that owns threads, sockets or timers, with one start and one stop. */
public interface ManagedService {

    /** Starts the service; the future completes when it is ready, or fails with a {@link CallFailure}. */
    CompletableFuture<Void> start();

    /**
     * Stops the service: refuses new work at once, lets running work end within {@code grace}, then ends the rest.
     * Calling it again has no further effect.
     */
    CompletableFuture<Void> stop(Duration grace);
}
