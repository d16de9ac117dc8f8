package coriandersill.idempotency.log;

import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import coriandersill.events.LoopGuard;
import coriandersill.idempotency.ClaimRecord;
import coriandersill.sharedlog.AppendMode;
import coriandersill.sharedlog.BatchingAppender;
import coriandersill.sharedlog.Scheduler;
import coriandersill.sharedlog.StepTimer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Appends releases and outcomes to the log and retries during log outages, with a bounded queue.
 *
 * <p>Both kinds of record are idempotent for their readers, so they may be appended more than once. If a record is
 * dropped, its key has no outcome, and a repeated call is told that the outcome is unknown. Thread-safe: a lock of rank
 * {@link LockRank#IDEMPOTENCY} guards the queue.
 */
final class SettlementAppender {
    private static final int MAX_QUEUED_RECORDS = 10_000;
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final RankedLock lock = RankedLock.of(LockRank.IDEMPOTENCY);
    private final BatchingAppender appender;
    private final StepTimer timer;
    private final LoopGuard guard;
    private final Deque<byte[]> queued = new ArrayDeque<>();

    SettlementAppender(BatchingAppender appender, Scheduler scheduler, LoopGuard guard) {
        this.appender = appender;
        this.timer = StepTimer.of(scheduler, guard);
        this.guard = guard;
    }

    /** Appends a record; the future completes with whether the first attempt succeeded, and never fails. */
    CompletableFuture<Boolean> append(ClaimRecord record) {
        return send(ClaimCodec.encode(record));
    }

    /** Appends a marker, which is not retried; the future completes with whether the append succeeded. */
    CompletableFuture<Boolean> appendMarker(byte[] data) {
        return appender.append(data, AppendMode.AT_LEAST_ONCE).handle((offset, error) -> error == null);
    }

    private void retryQueued() {
        timer.run(() -> guard.forEach(lock.with(this::takeQueued), this::resend), RETRY_DELAY, this::retryQueued);
    }

    private List<byte[]> takeQueued() {
        List<byte[]> records = new ArrayList<>(queued);
        queued.clear();
        guard.rest();
        return records;
    }

    private void resend(byte[] data) {
        CompletableFuture<Boolean> unused = send(data);
    }

    /** The number of records that have not been appended yet. */
    int pendingRecordCount() {
        return appender.pendingRecordCount() + lock.with(queued::size);
    }

    private CompletableFuture<Boolean> send(byte[] data) {
        return appender.append(data, AppendMode.AT_LEAST_ONCE).handle((offset, error) -> {
            if (error != null && lock.with(() -> enqueue(data))) {
                timer.schedule(RETRY_DELAY, this::retryQueued);
            }
            return error == null;
        });
    }

    /** Queues a record for a retry, dropping the oldest if the queue is full; returns whether the queue was empty. */
    private boolean enqueue(byte[] data) {
        if (queued.size() == MAX_QUEUED_RECORDS) {
            queued.removeFirst();
        }
        queued.addLast(data);
        guard.begin();
        return queued.size() == 1;
    }
}
