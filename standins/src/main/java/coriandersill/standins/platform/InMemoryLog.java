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

    private final InstantSource time;
    private final Scheduler scheduler;
    private final RankedLock lock = RankedLock.of(LockRank.AUDIT);
    private final Map<String, StreamState> streams = new HashMap<>();
    private final LongAdder appends = new LongAdder();
    private final LongAdder reads = new LongAdder();
    private final LogFaults faults = new LogFaults(this);
    private Duration delay = Duration.ZERO;
    private boolean down;
    private int lostAnswers;
    private int repeats;

    private InMemoryLog(InstantSource time, Scheduler scheduler) {
        this.time = Objects.requireNonNull(time, "time");
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
    public long appends() {
        return appends.sum();
    }

    /** How many reads were asked for, refused ones included. */
    public long reads() {
        return reads.sum();
    }

    @Override
    public CompletableFuture<Long> append(String stream, List<byte[]> records) {
        appends.increment();
        AppendResult append = lock.with(() -> appendNow(stream, records));
        append.woken().forEach(ReadCompletion::complete);
        return answer(append.offset(), append.failure(), append.delay());
    }

    @Override
    public CompletableFuture<LogPage> read(String stream, long from, int limit) {
        reads.increment();
        CompletableFuture<LogPage> waiting = new CompletableFuture<>();
        ReadResult reading = lock.with(() -> {
            StreamState state = stream(stream);
            if (!down && from <= state.end && state.indexOf(from) == state.records.size()) {
                state.waiting.add(new PendingRead(from, limit, waiting));
                return null;
            }
            return readNow(state, from, limit);
        });
        return reading == null ? waiting : answer(reading.page(), reading.failure(), reading.delay());
    }

    /** Returns what a read would find now, without waiting for a record; fails when the log is down. */
    public CompletableFuture<LogPage> readNow(String stream, long from, int limit) {
        ReadResult reading = lock.with(() -> readNow(stream(stream), from, limit));
        return answer(reading.page(), reading.failure(), reading.delay());
    }

    /** Ends a waiting read with an empty page; does nothing when it has been answered. */
    public void endWait(String stream, long from, CompletableFuture<LogPage> waiting) {
        LogPage empty = lock.with(() -> {
            StreamState state = stream(stream);
            state.waiting.removeIf(entry -> entry.future() == waiting);
            return page(state, from, 0);
        });
        waiting.complete(empty);
    }

    void setDown(boolean value) {
        List<PendingRead> refused = lock.with(() -> {
            down = value;
            return value ? takeWaiting() : List.<PendingRead>of();
        });
        refused.forEach(waiting -> waiting.future().completeExceptionally(unavailable()));
    }

    void setDelay(Duration value) {
        lock.run(() -> delay = value);
    }

    void setLostAnswers(int count) {
        lock.run(() -> lostAnswers = count);
    }

    void setRepeats(int count) {
        lock.run(() -> repeats = count);
    }

    void trim(String stream, long oldest) {
        lock.run(() -> {
            StreamState state = stream(stream);
            state.records.removeIf(record -> record.offset() < oldest);
            state.oldest = Math.max(state.oldest, Math.min(oldest, state.end));
        });
    }

    void restart(String stream) {
        List<ReadCompletion> woken = lock.with(() -> {
            StreamState state = stream(stream);
            state.records.clear();
            state.oldest = 0;
            state.end = 0;
            return wakeups(state);
        });
        woken.forEach(ReadCompletion::complete);
    }

    void skipOffsets(String stream, int count) {
        lock.run(() -> stream(stream).end += count);
    }

    private ReadResult readNow(StreamState state, long from, int limit) {
        return down
                ? new ReadResult(null, unavailable(), delay)
                : new ReadResult(page(state, from, limit), null, delay);
    }

    private AppendResult appendNow(String stream, List<byte[]> records) {
        if (down) {
            return new AppendResult(null, unavailable(), delay, List.of());
        }
        StreamState state = stream(stream);
        long first = state.end;
        for (byte[] data : records) {
            state.records.add(new LogRecord(state.end, time.instant(), data.clone()));
            state.end++;
        }
        CallFailure failure = null;
        if (lostAnswers > 0) {
            lostAnswers--;
            failure = CallFailure.of(ErrorKind.LOG_UNAVAILABLE, "answer lost").withRan(Ran.UNKNOWN);
        }
        return new AppendResult(first, failure, delay, wakeups(state));
    }

    private List<ReadCompletion> wakeups(StreamState state) {
        List<ReadCompletion> woken = new ArrayList<>();
        for (PendingRead waiting : state.waiting) {
            woken.add(new ReadCompletion(this, waiting, page(state, waiting.from(), waiting.limit()), delay));
        }
        state.waiting.clear();
        return woken;
    }

    private List<PendingRead> takeWaiting() {
        List<PendingRead> all = new ArrayList<>();
        for (StreamState state : streams.values()) {
            all.addAll(state.waiting);
            state.waiting.clear();
        }
        return all;
    }

    private LogPage page(StreamState state, long from, int limit) {
        long first = from;
        if (repeats > 0 && from > state.oldest && limit > 0) {
            repeats--;
            first = from - 1;
        }
        List<LogRecord> found = new ArrayList<>();
        for (int i = state.indexOf(first); i < state.records.size() && found.size() < limit; i++) {
            found.add(state.records.get(i));
        }
        return new LogPage(state.oldest, state.end, found);
    }

    private StreamState stream(String name) {
        return streams.computeIfAbsent(name, unused -> new StreamState());
    }

    private <T> CompletableFuture<T> answer(T value, CallFailure failure, Duration after) {
        CompletableFuture<T> future = new CompletableFuture<>();
        Runnable completion = () -> {
            if (failure == null) {
                future.complete(value);
            } else {
                future.completeExceptionally(failure);
            }
        };
        later(after, completion);
        return future;
    }

    private void later(Duration after, Runnable completion) {
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
        private final List<PendingRead> waiting = new ArrayList<>();
        private long oldest;
        private long end;

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

    private record ReadCompletion(InMemoryLog log, PendingRead waiting, LogPage page, Duration delay) {
        void complete() {
            log.later(delay, () -> waiting.future().complete(page));
        }
    }

    private record ReadResult(LogPage page, CallFailure failure, Duration delay) {}

    private record AppendResult(Long offset, CallFailure failure, Duration delay, List<ReadCompletion> woken) {}
}
