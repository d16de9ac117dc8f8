package coriandersill.cli.internal;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.sharedlog.ListedInstance;
import coriandersill.wire.Message;
import coriandersill.wire.PeerIdentity;
import coriandersill.wire.WireClient;
import coriandersill.wire.WireConnection;
import coriandersill.wire.WireEventLoops;
import coriandersill.wire.WireListener;
import coriandersill.wire.WireSettings;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** Connects to instances and keeps the latest ping of each. */
final class InstanceProbe implements AutoCloseable {
    /** The configuration position in the pings of the tool, which has no configuration. */
    private static final long NO_CONFIGURATION_POSITION = -1;

    private final WireEventLoops wireEventLoops = WireEventLoops.of(1);
    private final Map<InstanceId, Message.Ping> pings = new ConcurrentHashMap<>();
    private final List<WireClient> clients;
    private volatile Predicate<Map<InstanceId, Message.Ping>> condition = found -> false;
    private final CompletableFuture<Void> conditionMet = new CompletableFuture<>();

    InstanceProbe(List<ListedInstance> instances) {
        PeerIdentity self = new PeerIdentity(
                InstanceId.of("tool-" + ProcessHandle.current().pid()),
                System.currentTimeMillis(),
                "tool",
                AvailabilityZone.of("none"),
                "",
                "");
        WireSettings settings = WireSettings.of(self);
        SecureRandom random = new SecureRandom();
        this.clients = instances.stream()
                .map(instance -> WireClient.create(
                        settings, wireEventLoops, instance.host(), instance.port(), new PingListener(), random))
                .toList();
        clients.forEach(WireClient::start);
    }

    /** Waits until the pings satisfy {@code awaitedCondition}; returns false if the timeout expires first. */
    boolean await(Predicate<Map<InstanceId, Message.Ping>> awaitedCondition, Duration timeout) {
        condition = awaitedCondition;
        evaluateCondition();
        return conditionMet
                .copy()
                .completeOnTimeout(null, timeout.toMillis(), TimeUnit.MILLISECONDS)
                .thenApply(done -> conditionMet.isDone())
                .join();
    }

    Map<InstanceId, Message.Ping> pings() {
        return Map.copyOf(pings);
    }

    private void evaluateCondition() {
        if (condition.test(pings)) {
            conditionMet.complete(null);
        }
    }

    @Override
    public void close() {
        clients.forEach(client -> client.stop(Duration.ZERO));
        wireEventLoops.stop(Duration.ofMillis(100)).join();
    }

    /** Stores the latest ping of each instance and replies to it; an instance closes a connection without replies. */
    private final class PingListener implements WireListener {
        @Override
        public void onConnected(WireConnection connection) {
            // The instance sends its first ping without being asked.
        }

        @Override
        public void onMessage(WireConnection connection, Message message) {
            if (message instanceof Message.Ping ping) {
                pings.put(connection.peer().instance(), ping);
                connection.send(new Message.Ping(
                        ping.sequence(), NO_CONFIGURATION_POSITION, Optional.empty(), Optional.empty(), false));
                evaluateCondition();
            }
        }

        @Override
        public void onDisconnected(WireConnection connection) {
            // The latest ping is kept.
        }
    }
}
