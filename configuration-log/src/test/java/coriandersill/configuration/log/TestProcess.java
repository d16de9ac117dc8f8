package coriandersill.configuration.log;

import coriandersill.configuration.SnapshotPolicy;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.core.ManualClock;
import coriandersill.events.EventCode;
import coriandersill.sharedlog.LogPage;
import coriandersill.sharedlog.ManualScheduler;
import coriandersill.sharedlog.PlatformLog;
import coriandersill.standins.platform.InMemoryLog;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/** A process in virtual time whose connection to the log can be cut. */
final class TestProcess implements PlatformLog {
    static final SnapshotPolicy POLICY =
            new SnapshotPolicy(Duration.ofMinutes(10), 1000, Duration.ofMinutes(4), Duration.ofSeconds(10));

    final List<EventCode> events = new ArrayList<>();
    final ConfigurationService service;
    private final InMemoryLog log;
    private final List<CompletableFuture<LogPage>> pendingReads = new ArrayList<>();
    private boolean cutOff;

    TestProcess(String name, InMemoryLog log, ManualScheduler scheduler, ManualClock clock) {
        this.log = log;
        this.service = ConfigurationService.builder(InstanceId.of(name), this, scheduler)
                .wallClock(clock)
                .clock(clock)
                .random(new Random(name.hashCode()))
                .events((code, details) -> events.add(code))
                .snapshotPolicy(POLICY)
                .build();
    }

    TestProcess started() {
        if (!service.start().isDone()) {
            throw new IllegalStateException("start did not complete immediately");
        }
        return this;
    }

    void setCutOff(boolean value) {
        cutOff = value;
        if (value) {
            List.copyOf(pendingReads).forEach(read -> read.completeExceptionally(unavailable()));
            pendingReads.clear();
        }
    }

    @Override
    public CompletableFuture<Long> append(String stream, List<byte[]> records) {
        return cutOff ? unavailable().asFuture() : log.append(stream, records);
    }

    @Override
    public CompletableFuture<LogPage> read(String stream, long from, int limit) {
        if (cutOff) {
            return unavailable().asFuture();
        }
        CompletableFuture<LogPage> read = log.read(stream, from, limit);
        CompletableFuture<LogPage> own = read.copy();
        pendingReads.removeIf(CompletableFuture::isDone);
        pendingReads.add(own);
        return own;
    }

    /** Does what a daemon does on a peer's digest: fetches the peer's state if due; returns whether it was adopted. */
    boolean catchUpFrom(TestProcess peer) {
        return service.shouldFetchFrom(peer.service.digest())
                && service.importPeerState(peer.service.exportSince(service.digest()));
    }

    private static CallFailure unavailable() {
        return CallFailure.of(ErrorKind.LOG_UNAVAILABLE, "connection to the log is cut");
    }
}
