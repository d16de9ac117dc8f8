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
 * A log in memory, with the faults of the real one on demand.
 *
 * <pre>{@code
 * InMemoryLog log = InMemoryLog.of(InstantSource.system());
 * log.faults().loseAnswers(1);
 * }</pre>
 *
 * <p>A read at the end of a stream is a future that the next append completes, on the appender's thread; no thread
 * waits. Streams are guarded by a lock of rank {@link LockRank#AUDIT}; futures are completed after its release.
 */
public final class InMemoryLog implements PlatformLog {
    private static final Scheduler NO_SCHEDULER = (delay, task) -> {
        throw new IllegalStateException("slow: expected a log with a scheduler, found one without");
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
    private int lostResponses;
    private int repeatedReads;

    private InMemoryLog(InstantSource time, Scheduler scheduler) {
        this.wallClock = Objects.requireNonNull(time, "time");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    }

    /** Returns an empty log that stamps records by {@code time} and cannot be slow. */
    public static InMemoryLog of(InstantSource time) {
        return new InMemoryLog(time, NO_SCHEDULER);
    }

    /** Returns an empty log whose late answers come by {@code scheduler}. */
    public static InMemoryLog of(InstantSource time, Scheduler scheduler) {
        return new InMemoryLog(time, scheduler);
    }

    /** The faults of this log. */
    public LogFaults faults() {
        return faults;
    }

    /** How many appends were asked for, refused ones included. */
    public long appendCount() {
        return appendCount.sum();
    }

    /** How many reads were asked for, refused ones included. */
    public long readCount() {
        return readCount.sum();
    }

    @Override
    public CompletableFuture<Long> append(String stream, List<byte[]> records) {
        appendCount.increment();
        AppendResult append = lock.with(() -> appendNow(stream, records));
        append.readCompletions().forEach(ReadCompletion::complete);
        return respond(append.offset(), append.failure(), append.delay());
    }

    @Override
    public CompletableFuture<LogPage> read(String stream, long from, int limit) {
        readCount.increment();
        CompletableFuture<LogPage> waiting = new CompletableFuture<>();
        ReadResult reading = lock.with(() -> {
            StreamState state = stream(stream);
            if (!down && from <= state.endOffset && state.indexOf(from) == state.records.size()) {
                state.pendingReads.add(new PendingRead(from, limit, waiting));
                return null;
            }
            return readNow(state, from, limit);
        });
        return reading == null ? waiting : respond(reading.page(), reading.failure(), reading.delay());
    }

    /** Returns what a read would find now, without waiting for a record; fails when the log is down. */
    public CompletableFuture<LogPage> readNow(String stream, long from, int limit) {
        ReadResult reading = lock.with(() -> readNow(stream(stream), from, limit));
        return respond(reading.page(), reading.failure(), reading.delay());
    }

    /** Ends a waiting read with an empty page; does nothing when it has been answered. */
    public void endPendingRead(String stream, long from, CompletableFuture<LogPage> waiting) {
        LogPage empty = lock.with(() -> {
            StreamState state = stream(stream);
            state.pendingReads.removeIf(entry -> entry.future() == waiting);
            return page(state, from, 0);
        });
        waiting.complete(empty);
    }

    void setDown(boolean value) {
        List<PendingRead> refused = lock.with(() -> {
            down = value;
            return value ? removePendingReads() : List.<PendingRead>of();
        });
        refused.forEach(waiting -> waiting.future().completeExceptionally(unavailable()));
    }

    void setResponseDelay(Duration value) {
        lock.run(() -> responseDelay = value);
    }

    void setLostResponses(int count) {
        lock.run(() -> lostResponses = count);
    }

    void setRepeatedReads(int count) {
        lock.run(() -> repeatedReads = count);
    }

    void trim(String stream, long oldest) {
        lock.run(() -> {
            StreamState state = stream(stream);
            state.records.removeIf(record -> record.offset() < oldest);
            state.oldestOffset = Math.max(state.oldestOffset, Math.min(oldest, state.endOffset));
        });
    }

    void restart(String stream) {
        List<ReadCompletion> woken = lock.with(() -> {
            StreamState state = stream(stream);
            state.records.clear();
            state.oldestOffset = 0;
            state.endOffset = 0;
            return removeReadCompletions(state);
        });
        woken.forEach(ReadCompletion::complete);
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
        if (lostResponses > 0) {
            lostResponses--;
            failure = CallFailure.of(ErrorKind.LOG_UNAVAILABLE, "answer lost").withRan(Ran.UNKNOWN);
        }
        return new AppendResult(first, failure, responseDelay, removeReadCompletions(state));
    }

    private List<ReadCompletion> removeReadCompletions(StreamState state) {
        List<ReadCompletion> woken = new ArrayList<>();
        for (PendingRead waiting : state.pendingReads) {
            woken.add(new ReadCompletion(this, waiting, page(state, waiting.from(), waiting.limit()), responseDelay));
        }
        state.pendingReads.clear();
        return woken;
    }

    private List<PendingRead> removePendingReads() {
        List<PendingRead> all = new ArrayList<>();
        for (StreamState state : streams.values()) {
            all.addAll(state.pendingReads);
            state.pendingReads.clear();
        }
        return all;
    }

    private LogPage page(StreamState state, long from, int limit) {
        long first = from;
        if (repeatedReads > 0 && from > state.oldestOffset && limit > 0) {
            repeatedReads--;
            first = from - 1;
        }
        List<LogRecord> found = new ArrayList<>();
        for (int i = state.indexOf(first); i < state.records.size() && found.size() < limit; i++) {
            found.add(state.records.get(i));
        }
        return new LogPage(state.oldestOffset, state.endOffset, found);
    }

    private StreamState stream(String name) {
        return streams.computeIfAbsent(name, unused -> new StreamState());
    }

    private <T> CompletableFuture<T> respond(T value, CallFailure failure, Duration after) {
        CompletableFuture<T> future = new CompletableFuture<>();
        Runnable completion = () -> {
            if (failure == null) {
                future.complete(value);
            } else {
                future.completeExceptionally(failure);
            }
        };
        runAfter(after, completion);
        return future;
    }

    private void runAfter(Duration after, Runnable completion) {
        if (after.isZero()) {
            completion.run();
        } else {
            scheduler.schedule(after, completion);
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
