package coriandersill.daemon.internal;

import coriandersill.core.ManagedService;
import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import coriandersill.events.LoopGuard;
import coriandersill.events.Loops;
import coriandersill.sharedlog.InstanceRegistry;
import coriandersill.sharedlog.ListedInstance;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Registers this instance with the platform and renews the registration periodically. */
final class InstanceRegistration implements ManagedService {
    private static final long RENEWAL_INTERVAL_MILLIS = 2_000;

    /** Longer than a renewal that is not answered. */
    private static final Duration STALL_BOUND = Duration.ofSeconds(8);

    private final Vertx vertx;
    private final InstanceRegistry registry;
    private final Supplier<ListedInstance> currentInstance;
    private final EventLog events;
    private final LoopGuard guard;
    private long timerId = -1;

    InstanceRegistration(
            Vertx vertx,
            InstanceRegistry registry,
            Supplier<ListedInstance> currentInstance,
            EventLog events,
            Loops loops) {
        this.vertx = vertx;
        this.registry = registry;
        this.currentInstance = currentInstance;
        this.events = events;
        this.guard = loops.register("registration of the instance", STALL_BOUND);
    }

    @Override
    public CompletableFuture<Void> start() {
        guard.begin();
        timerId = vertx.setPeriodic(0, RENEWAL_INTERVAL_MILLIS, tick -> guard.run(this::renewAndMarkProgress));
        return CompletableFuture.completedFuture(null);
    }

    private void renewAndMarkProgress() {
        CompletableFuture<Void> unused = renew().thenRun(guard::markProgress);
    }

    /** Renews immediately, for example when the instance starts to drain; the future never fails. */
    CompletableFuture<Void> renew() {
        return registry.register(currentInstance.get()).exceptionally(error -> {
            events.record(EventCode.INSTANCE_LIST_DOUBTED, Map.of("why", String.valueOf(error.getMessage())));
            return null;
        });
    }

    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        // The platform removes the instance when its registration is no longer renewed.
        vertx.cancelTimer(timerId);
        guard.rest();
        return CompletableFuture.completedFuture(null);
    }
}
