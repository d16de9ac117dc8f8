package coriandersill.standins.platform;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import coriandersill.sharedlog.LogPage;
import coriandersill.sharedlog.LogRecord;
import coriandersill.sharedlog.PlatformLog;
import coriandersill.sharedlog.Scheduler;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.LongAdder;

/**
 * An in-memory log that can simulate the faults of the platform's log.
 *
 * <pre>{@code
 * InMemoryLog log = InMemoryLog.of(InstantSource.system());
 * log.faults().loseResponses(1);
 * }</pre>
 *
 * <p>A read at the end of a stream returns a future that the next append completes, on the appending thread; no thread
 * blocks. Streams are guarded by a lock of the last rank, {@link LockRank#AUDIT}, so that callers may hold any other
 * lock; futures are completed after its release.
 */
public final class InMemoryLog implements PlatformLog {
    private static final Scheduler NO_SCHEDULER = (delay, task) -> {
        throw new IllegalStateException("response delay: expected a log with a scheduler, found one without");
    };

    private final InstantSource wallClock;
    private final Scheduler scheduler;
    private final RankedLock lock = RankedLock.of(LockRank.AUDIT);
    private final Map<String, StreamState> streams = new HashMap<>();
    private final LongAdder appendCount = new LongAdder();
    private final LongAdder readCount = new LongAdder();
    private final LogFaults faults = new LogFaults(this);
    private Duration responseDelay = Duration.ZERO;
    private boolean down;

    /** The number of further appends whose responses are lost. */
    private int responsesToLose;

    /** The number of further reads that start one record early. */
    private int readsStartingEarly;

    private InMemoryLog(InstantSource wallClock, Scheduler scheduler) {
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    }

    /** Returns an empty log that takes record times from {@code wallClock} and cannot delay responses. */
    public static InMemoryLog of(InstantSource wallClock) {
        return new InMemoryLog(wallClock, NO_SCHEDULER);
    }

    /** Returns an empty log that delays responses with {@code scheduler}. */
    public static InMemoryLog of(InstantSource wallClock, Scheduler scheduler) {
        return new InMemoryLog(wallClock, scheduler);
    }

    /** Returns the fault injector of this log. */
    public LogFaults faults() {
        return faults;
    }

    /** Returns the number of appends requested, including failed ones. */
    public long appendCount() {
        return appendCount.sum();
    }

    /** Returns the number of reads requested, including failed ones. */
    public long readCount() {
        return readCount.sum();
    }

    @Override
    public CompletableFuture<Long> append(String stream, List<byte[]> records) {
        appendCount.increment();
        AppendResult result = lock.with(() -> appendNow(stream, records));
        result.readCompletions().forEach(ReadCompletion::complete);
        return respond(result.offset(), result.failure(), result.delay());
    }

    @Override
    public CompletableFuture<LogPage> read(String stream, long from, int limit) {
        readCount.increment();
        CompletableFuture<LogPage> pending = new CompletableFuture<>();
        ReadResult result = lock.with(() -> {
            StreamState state = stream(stream);
            if (!down && from <= state.endOffset && state.indexOf(from) == state.records.size()) {
                state.pendingReads.add(new PendingRead(from, limit, pending));
                return null;
            }
            return readNow(state, from, limit);
        });
        return result == null ? pending : respond(result.page(), result.failure(), result.delay());
    }

    /** Reads the available records without waiting for a new one; fails if the log is down. */
    public CompletableFuture<LogPage> readNow(String stream, long from, int limit) {
        ReadResult result = lock.with(() -> readNow(stream(stream), from, limit));
        return respond(result.page(), result.failure(), result.delay());
    }

    /** Completes a pending read with an empty page; has no effect if it is already complete. */
    public void endPendingRead(String stream, long from, CompletableFuture<LogPage> pending) {
        LogPage empty = lock.with(() -> {
            StreamState state = stream(stream);
            state.pendingReads.removeIf(read -> read.future() == pending);
            return page(state, from, 0);
        });
        pending.complete(empty);
    }

    void setDown(boolean value) {
        List<PendingRead> failed = lock.with(() -> {
            down = value;
            return value ? removeAllPendingReads() : List.<PendingRead>of();
        });
        failed.forEach(read -> read.future().completeExceptionally(unavailable()));
    }

    void setResponseDelay(Duration value) {
        lock.run(() -> responseDelay = value);
    }

    void setResponsesToLose(int count) {
        lock.run(() -> responsesToLose = count);
    }

    void setReadsStartingEarly(int count) {
        lock.run(() -> readsStartingEarly = count);
    }

    void trim(String stream, long oldestOffset) {
        lock.run(() -> {
            StreamState state = stream(stream);
            state.records.removeIf(record -> record.offset() < oldestOffset);
            state.oldestOffset = Math.max(state.oldestOffset, Math.min(oldestOffset, state.endOffset));
        });
    }

    void restart(String stream) {
        List<ReadCompletion> completions = lock.with(() -> {
            StreamState state = stream(stream);
            state.records.clear();
            state.oldestOffset = 0;
            state.endOffset = 0;
            return drainPendingReads(state);
        });
        completions.forEach(ReadCompletion::complete);
    }

    void skipOffsets(String stream, int count) {
        lock.run(() -> stream(stream).endOffset += count);
    }

    private ReadResult readNow(StreamState state, long from, int limit) {
        return down
                ? new ReadResult(null, unavailable(), responseDelay)
                : new ReadResult(page(state, from, limit), null, responseDelay);
    }

    private AppendResult appendNow(String stream, List<byte[]> records) {
        if (down) {
            return new AppendResult(null, unavailable(), responseDelay, List.of());
        }
        StreamState state = stream(stream);
        long first = state.endOffset;
        for (byte[] data : records) {
            state.records.add(new LogRecord(state.endOffset, wallClock.instant(), data.clone()));
            state.endOffset++;
        }
        CallFailure failure = null;
        if (responsesToLose > 0) {
            responsesToLose--;
            failure = CallFailure.of(ErrorKind.LOG_UNAVAILABLE, "append: response lost")
                    .withRan(Ran.UNKNOWN);
        }
        return new AppendResult(first, failure, responseDelay, drainPendingReads(state));
    }

    /** Removes the pending reads of a stream and returns their completions, to be run after the lock is released. */
    private List<ReadCompletion> drainPendingReads(StreamState state) {
        List<ReadCompletion> completions = new ArrayList<>();
        for (PendingRead read : state.pendingReads) {
            completions.add(new ReadCompletion(this, read, page(state, read.from(), read.limit()), responseDelay));
        }
        state.pendingReads.clear();
        return completions;
    }

    private List<PendingRead> removeAllPendingReads() {
        List<PendingRead> all = new ArrayList<>();
        for (StreamState state : streams.values()) {
            all.addAll(state.pendingReads);
            state.pendingReads.clear();
        }
        return all;
    }

    private LogPage page(StreamState state, long from, int limit) {
        long first = from;
        if (readsStartingEarly > 0 && from > state.oldestOffset && limit > 0) {
            readsStartingEarly--;
            first = from - 1;
        }
        List<LogRecord> found = new ArrayList<>();
        for (int i = state.indexOf(first); i < state.records.size() && found.size() < limit; i++) {
            found.add(state.records.get(i));
        }
        return new LogPage(state.oldestOffset, state.endOffset, found);
    }

    private StreamState stream(String name) {
        return streams.computeIfAbsent(name, key -> new StreamState());
    }

    private <T> CompletableFuture<T> respond(T value, CallFailure failure, Duration delay) {
        CompletableFuture<T> future = new CompletableFuture<>();
        Runnable completion = () -> {
            if (failure == null) {
                future.complete(value);
            } else {
                future.completeExceptionally(failure);
            }
        };
        runAfter(delay, completion);
        return future;
    }

    private void runAfter(Duration delay, Runnable completion) {
        if (delay.isZero()) {
            completion.run();
        } else {
            scheduler.schedule(delay, completion);
        }
    }

    private static CallFailure unavailable() {
        return CallFailure.of(ErrorKind.LOG_UNAVAILABLE, "log is down");
    }

    private static final class StreamState {
        private final List<LogRecord> records = new ArrayList<>();
        private final List<PendingRead> pendingReads = new ArrayList<>();
        private long oldestOffset;
        private long endOffset;

        private int indexOf(long offset) {
            int low = 0;
            int high = records.size();
            while (low < high) {
                int middle = (low + high) >>> 1;
                if (records.get(middle).offset() < offset) {
                    low = middle + 1;
                } else {
                    high = middle;
                }
            }
            return low;
        }
    }

    private record PendingRead(long from, int limit, CompletableFuture<LogPage> future) {}

    private record ReadCompletion(InMemoryLog log, PendingRead pendingRead, LogPage page, Duration delay) {
        void complete() {
            log.runAfter(delay, () -> pendingRead.future().complete(page));
        }
    }

    private record ReadResult(LogPage page, CallFailure failure, Duration delay) {}

    private record AppendResult(
            Long offset, CallFailure failure, Duration delay, List<ReadCompletion> readCompletions) {}
}
