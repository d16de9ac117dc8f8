package coriandersill.idempotency.log;

import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import coriandersill.idempotency.ClaimRecord;
import coriandersill.sharedlog.AppendMode;
import coriandersill.sharedlog.BatchingAppender;
import coriandersill.sharedlog.Scheduler;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Appends releases and outcomes until the log has them, over outages too, within a bound.
 *
 * <p>Both are idempotent for their readers. One that is dropped leaves its key without an outcome, which repeats hear
 * as unknown. Safe for use by many threads: one lock of rank {@link LockRank#IDEMPOTENCY} guards the queue.
 */
final class SettlementAppender {
    private static final int MAX_KEPT = 10_000;
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final RankedLock lock = RankedLock.of(LockRank.IDEMPOTENCY);
    private final BatchingAppender appender;
    private final Scheduler scheduler;
    private final Deque<byte[]> kept = new ArrayDeque<>();

    SettlementAppender(BatchingAppender appender, Scheduler scheduler) {
        this.appender = appender;
        this.scheduler = scheduler;
    }

    /** Appends a record; the future completes with whether the log has it, and never fails. */
    CompletableFuture<Boolean> append(ClaimRecord record) {
        return send(ClaimCodec.encode(record));
    }

    /** Appends a marker, which is not kept when the log does not take it; completes with whether it did. */
    CompletableFuture<Boolean> appendMarker(byte[] data) {
        return appender.append(data, AppendMode.AT_LEAST_ONCE).handle((offset, error) -> error == null);
    }

    private void retry() {
        List<byte[]> again = lock.with(() -> {
            List<byte[]> all = new ArrayList<>(kept);
            kept.clear();
            return all;
        });
        for (byte[] data : again) {
            CompletableFuture<Boolean> unused = send(data);
        }
    }

    /** How many records wait for the log. */
    int pending() {
        return appender.pending() + lock.with(kept::size);
    }

    private CompletableFuture<Boolean> send(byte[] data) {
        return appender.append(data, AppendMode.AT_LEAST_ONCE).handle((offset, error) -> {
            if (error != null && lock.with(() -> keep(data))) {
                scheduler.schedule(RETRY_DELAY, this::retry);
            }
            return error == null;
        });
    }

    /** Keeps a record for later; returns whether it is the first one kept. */
    private boolean keep(byte[] data) {
        if (kept.size() == MAX_KEPT) {
            kept.removeFirst();
        }
        kept.addLast(data);
        return kept.size() == 1;
    }
}
