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

/** A process with its own way to the log, which can be cut, in virtual time. */
final class TestProcess implements PlatformLog {
    static final SnapshotPolicy POLICY =
            new SnapshotPolicy(Duration.ofMinutes(10), 1000, Duration.ofMinutes(4), Duration.ofSeconds(10));

    final List<EventCode> events = new ArrayList<>();
    final ConfigurationService service;
    private final InMemoryLog log;
    private final List<CompletableFuture<LogPage>> waiting = new ArrayList<>();
    private boolean cut;

    TestProcess(String name, InMemoryLog log, ManualScheduler scheduler, ManualClock clock) {
        this.log = log;
        this.service = ConfigurationService.builder(InstanceId.of(name), this, scheduler)
                .time(clock)
                .clock(clock)
                .random(new Random(name.hashCode()))
                .events((code, details) -> events.add(code))
                .snapshots(POLICY)
                .build();
    }

    TestProcess started() {
        if (!service.start().isDone()) {
            throw new IllegalStateException("start has to complete at once");
        }
        return this;
    }

    void cut(boolean value) {
        cut = value;
        if (value) {
            List.copyOf(waiting).forEach(read -> read.completeExceptionally(down()));
            waiting.clear();
        }
    }

    @Override
    public CompletableFuture<Long> append(String stream, List<byte[]> records) {
        return cut ? down().asFuture() : log.append(stream, records);
    }

    @Override
    public CompletableFuture<LogPage> read(String stream, long from, int limit) {
        if (cut) {
            return down().asFuture();
        }
        CompletableFuture<LogPage> read = log.read(stream, from, limit);
        CompletableFuture<LogPage> own = read.copy();
        waiting.removeIf(CompletableFuture::isDone);
        waiting.add(own);
        return own;
    }

    /** Learns from a peer as a daemon does: fetches the peer's state when the digest says so. */
    boolean hears(TestProcess peer) {
        return service.shouldFetchFrom(peer.service.digest())
                && service.importPeerState(peer.service.exportSince(service.digest()));
    }

    private static CallFailure down() {
        return CallFailure.of(ErrorKind.LOG_UNAVAILABLE, "cut off");
    }
}
