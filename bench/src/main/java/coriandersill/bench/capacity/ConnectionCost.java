package coriandersill.bench.capacity;

import com.sun.management.OperatingSystemMXBean;
import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.wire.Message;
import coriandersill.wire.PeerIdentity;
import coriandersill.wire.WireClient;
import coriandersill.wire.WireConnection;
import coriandersill.wire.WireEventLoops;
import coriandersill.wire.WireListener;
import coriandersill.wire.WireServer;
import coriandersill.wire.WireSettings;
import coriandersill.wire.proto.Frames;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

/** Measures the size of a ping, the heap per connection end, and the CPU time per ping for both ends. */
public final class ConnectionCost {
    private static final int CONNECTIONS = 1_000;
    private static final int PING_ROUNDS = 50;
    /** The size of the length field that precedes each frame. */
    private static final int LENGTH_FIELD_BYTES = 4;

    private ConnectionCost() {}

    /** Runs the measurements and prints a JSON object; takes no arguments. */
    @SuppressWarnings("SystemOut")
    public static void main(String[] arguments) {
        PrintStream out = System.out;
        out.println("{");
        out.println("  \"ping_bytes_sidecar\": " + pingBytes(true) + ",");
        out.println("  \"ping_bytes_entry\": " + pingBytes(false) + ",");
        measureConnections(out);
        out.println("}");
        System.exit(0);
    }

    private static int pingBytes(boolean sentBySidecar) {
        Frames.Ping.Builder ping =
                Frames.Ping.newBuilder().setSequence(1_000_000).setConfigurationOffset(50_000_000);
        if (sentBySidecar) {
            ping.setLoad(Frames.Load.newBuilder()
                            .setRunning(40)
                            .setWaiting(12)
                            .setLimit(64)
                            .setReservedTokens(150_000)
                            .setMemoryTokens(200_000))
                    .setStamp(Frames.Stamp.newBuilder().setEpoch(-1L).setSequence(100_000_000));
        }
        return LENGTH_FIELD_BYTES
                + Frames.Frame.newBuilder().setPing(ping).build().getSerializedSize();
    }

    private static void measureConnections(PrintStream out) {
        WireEventLoops eventLoops = WireEventLoops.of(2);
        ConnectionTracker serverSide = new ConnectionTracker();
        WireServer server = WireServer.create(settings("server"), eventLoops, "127.0.0.1", 0, serverSide);
        server.start().join();
        long before = usedHeap();
        ConnectionTracker clientSide = new ConnectionTracker();
        List<WireClient> clients = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            WireClient client = WireClient.create(
                    settings("client-" + i), eventLoops, "127.0.0.1", server.port(), clientSide, new SecureRandom());
            clients.add(client);
            client.start();
        }
        await(() -> serverSide.connections.size() == CONNECTIONS && clientSide.connections.size() == CONNECTIONS);
        long heapBytesPerEnd = (usedHeap() - before) / (2L * CONNECTIONS);
        long cpuBeforeNanos = cpuNanos();
        for (int round = 0; round < PING_ROUNDS; round++) {
            Message ping = new Message.Ping(
                    round,
                    50_000_000,
                    Optional.of(new Message.Load(40, 12, 64, false, 150_000, 200_000)),
                    Optional.of(new Message.Stamp(-1, 100_000_000)),
                    false);
            serverSide.connections.forEach(connection -> connection.send(ping));
            long expected = (round + 1L) * CONNECTIONS;
            await(() -> clientSide.received.get() >= expected);
        }
        double microsPerPing = (cpuNanos() - cpuBeforeNanos) / 1e3 / ((double) PING_ROUNDS * CONNECTIONS);
        out.println("  \"heap_bytes_per_connection_end\": " + heapBytesPerEnd + ",");
        out.println(String.format(Locale.ROOT, "  \"cpu_micros_per_ping_both_ends\": %.1f", microsPerPing));
        clients.forEach(client -> client.stop(Duration.ZERO));
    }

    private static WireSettings settings(String name) {
        WireSettings defaults = WireSettings.of(
                new PeerIdentity(InstanceId.of(name), 1, "entry", AvailabilityZone.of("zone-a"), "", ""));
        // The idle timeout exceeds the duration of the measurement: pings are sent by this class, and only by the
        // server.
        return new WireSettings(
                defaults.self(),
                defaults.maxFrameBytes(),
                defaults.pingInterval(),
                Duration.ofMinutes(10),
                Optional.empty());
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static long cpuNanos() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
    }

    private static void await(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            new CompletableFuture<Void>()
                    .completeOnTimeout(null, 1, TimeUnit.MILLISECONDS)
                    .join();
        }
    }

    /** Tracks the open connections and counts received messages. */
    private static final class ConnectionTracker implements WireListener {
        private final Set<WireConnection> connections = ConcurrentHashMap.newKeySet();
        private final AtomicLong received = new AtomicLong();

        @Override
        public void onConnected(WireConnection connection) {
            connections.add(connection);
        }

        @Override
        public void onMessage(WireConnection connection, Message message) {
            received.incrementAndGet();
        }

        @Override
        public void onDisconnected(WireConnection connection) {
            connections.remove(connection);
        }
    }
}
