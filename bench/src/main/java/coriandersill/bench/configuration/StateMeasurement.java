package coriandersill.bench.configuration;

import coriandersill.configuration.AcceptedState;
import coriandersill.configuration.ChangeSet;
import coriandersill.configuration.ConfigurationState;
import coriandersill.configuration.ConfigurationStateMachine;
import coriandersill.configuration.PeerState;
import coriandersill.configuration.SnapshotChunk;
import coriandersill.configuration.StandardRule;
import coriandersill.configuration.log.ConfigurationService;
import coriandersill.core.InstanceId;
import coriandersill.documents.RecordCodec;
import coriandersill.sharedlog.Scheduler;
import coriandersill.sharedlog.http.HttpPlatformClient;
import coriandersill.standins.platform.InMemoryLog;
import coriandersill.standins.platform.PlatformServer;
import coriandersill.workers.WorkerPool;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Measures a state of 3,000 documents: its memory, the cost of applying a change, and the recovery of a new process.
 */
final class StateMeasurement {
    private static final int COPIES = 20;
    private static final int CHANGES = 2_000;
    private static final int CHANGES_AFTER_SNAPSHOT = 2_000;
    private static final int MAX_ENTRIES_PER_CHUNK = 100;

    private final ConfigurationStateMachine stateMachine = ConfigurationStateMachine.of(StandardRule.all());

    void measureMemory() {
        byte[] bytes = RecordCodec.encode(PeerState.full(stateWithFullHistory().accepted()));
        List<PeerState> copies = new ArrayList<>();
        long before = usedHeap();
        for (int i = 0; i < COPIES; i++) {
            copies.add(RecordCodec.decodePeerState(bytes));
        }
        long after = usedHeap();
        System.out.printf(
                "memory: %d documents, %d history entries: %.2f MB per state; %.2f MB as peer state on the wire%n",
                copies.get(0).accepted().documents().size(),
                copies.get(0).accepted().history().size(),
                (after - before) / 1e6 / COPIES,
                bytes.length / 1e6);
    }

    void measureApplyCost() {
        for (int round = 1; round <= 3; round++) {
            ConfigurationState state = SampleConfiguration.initialState();
            List<byte[]> records = new ArrayList<>();
            for (int i = 0; i < CHANGES; i++) {
                ChangeSet change = SampleConfiguration.change(state.accepted(), i);
                records.add(RecordCodec.encode(change));
                state = stateMachine.apply(state, state.position() + 1, change).state();
            }
            ConfigurationState replayed = SampleConfiguration.initialState();
            long startNanos = System.nanoTime();
            for (byte[] record : records) {
                replayed = stateMachine
                        .apply(replayed, replayed.position() + 1, RecordCodec.decode(record))
                        .state();
            }
            double micros = (System.nanoTime() - startNanos) / 1e3 / CHANGES;
            System.out.printf(
                    "apply round %d: %.1f us per change with decoding, %d bytes per change, state equal: %s%n",
                    round, micros, records.get(0).length, replayed.accepted().equals(state.accepted()));
        }
    }

    void measureRecovery() throws Exception {
        Vertx vertx = Vertx.vertx();
        ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
        WorkerPool workers = WorkerPool.of("bench", 2, 10_000);
        InMemoryLog log = InMemoryLog.of(InstantSource.system(), Scheduler.of(timers));
        ConfigurationState state = fillLog(log);
        PlatformServer server = PlatformServer.create(vertx, "127.0.0.1", 0, log);
        server.start().get(10, TimeUnit.SECONDS);
        for (int round = 1; round <= 5; round++) {
            HttpPlatformClient platform = HttpPlatformClient.builder(vertx, "127.0.0.1", server.port())
                    .executor(workers)
                    .build();
            ConfigurationService service = ConfigurationService.builder(
                            InstanceId.of("newcomer-" + round), platform.log(), Scheduler.of(timers))
                    .executor(workers)
                    .build();
            long startNanos = System.nanoTime();
            service.start().get(10, TimeUnit.SECONDS);
            service.whenReady().get(60, TimeUnit.SECONDS);
            double millis = (System.nanoTime() - startNanos) / 1e6;
            System.out.printf(
                    "recovery round %d from the log: %.0f ms, %.2f MB read, state equal: %s%n",
                    round,
                    millis,
                    platform.receivedBytes() / 1e6,
                    service.state()
                            .accepted()
                            .documents()
                            .equals(state.accepted().documents()));
            service.stop(Duration.ZERO).get(1, TimeUnit.SECONDS);
        }
        measureRecoveryFromPeer(state);
        vertx.close().toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
        timers.shutdownNow();
        workers.stop(Duration.ZERO).get(1, TimeUnit.SECONDS);
    }

    private void measureRecoveryFromPeer(ConfigurationState state) {
        byte[] fullBytes = RecordCodec.encode(PeerState.full(state.accepted()));
        byte[] deltaBytes = RecordCodec.encode(PeerState.changesSince(state.position() - 2, state.accepted()));
        for (int round = 1; round <= 5; round++) {
            long startNanos = System.nanoTime();
            ConfigurationState reached = stateMachine
                    .importPeer(ConfigurationState.initial(), RecordCodec.decodePeerState(fullBytes))
                    .state();
            System.out.printf(
                    "recovery round %d from a peer: %.0f ms, %.2f MB, origin %s; two changes as a delta: %d bytes%n",
                    round,
                    (System.nanoTime() - startNanos) / 1e6,
                    fullBytes.length / 1e6,
                    reached.origin(),
                    deltaBytes.length);
        }
    }

    /** Fills the log with a snapshot followed by changes, trims what precedes the snapshot, and returns the state. */
    private ConfigurationState fillLog(InMemoryLog log) {
        List<byte[]> records = new ArrayList<>();
        SampleConfiguration.initialChanges().forEach(change -> records.add(RecordCodec.encode(change)));
        ConfigurationState state = SampleConfiguration.initialState();
        long firstKeptOffset = records.size();
        AcceptedState snapshot = state.accepted();
        for (SnapshotChunk chunk : SnapshotChunk.split("bench:1", snapshot, MAX_ENTRIES_PER_CHUNK)) {
            records.add(RecordCodec.encode(chunk));
            state = stateMachine.apply(state, records.size() - 1, chunk).state();
        }
        for (int i = 0; i < CHANGES_AFTER_SNAPSHOT; i++) {
            ChangeSet change = SampleConfiguration.change(state.accepted(), i);
            records.add(RecordCodec.encode(change));
            state = stateMachine.apply(state, records.size() - 1, change).state();
        }
        log.append(ConfigurationService.STREAM, records).join();
        log.faults().trim(ConfigurationService.STREAM, firstKeptOffset);
        return state;
    }

    private ConfigurationState stateWithFullHistory() {
        ConfigurationState state = SampleConfiguration.initialState();
        for (int i = 0; i < AcceptedState.MAX_HISTORY_ENTRIES; i++) {
            state = stateMachine
                    .apply(state, state.position() + 1, SampleConfiguration.change(state.accepted(), i))
                    .state();
        }
        return state;
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
