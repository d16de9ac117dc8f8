package coriandersill.configuration.log;

import coriandersill.configuration.AcceptedState;
import coriandersill.configuration.ChangeSet;
import coriandersill.configuration.ConfigurationRecord;
import coriandersill.configuration.ConfigurationState;
import coriandersill.configuration.ConfigurationStateMachine;
import coriandersill.configuration.HistoryEntry;
import coriandersill.configuration.PeerState;
import coriandersill.configuration.StandardRule;
import coriandersill.configuration.StreamPosition;
import coriandersill.configuration.Verdict;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.MonotonicClock;
import coriandersill.core.Ran;
import coriandersill.documents.RecordCodec;
import coriandersill.sharedlog.Backoff;
import coriandersill.sharedlog.LogPage;
import coriandersill.sharedlog.LogRecord;
import coriandersill.sharedlog.PlatformLog;
import coriandersill.sharedlog.Scheduler;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Reads the configuration from the log and applies change sets, for the command-line tool.
 *
 * <pre>{@code
 * ConfigurationClient client = ConfigurationClient.of(log, scheduler, Duration.ofSeconds(30));
 * AcceptedState state = client.state().join();
 * ApplyResult result = client.apply(change).join();
 * }</pre>
 *
 * <p>The log has to answer reads at its end at once, without waiting for a record. One call at a time. Applying the
 * same change set again, also from another process, never applies it twice: the first verdict is found by the change's
 * id.
 */
public final class ConfigurationClient {
    private static final int PAGE_LIMIT = 500;

    private final PlatformLog log;
    private final Scheduler scheduler;
    private final Duration deadline;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Backoff backoff = new Backoff(Duration.ofMillis(100), Duration.ofSeconds(2));
    private final ConfigurationStateMachine stateMachine = ConfigurationStateMachine.of(StandardRule.all());

    private ConfigurationState state = ConfigurationState.initial();
    private long next;

    private ConfigurationClient(
            PlatformLog log, Scheduler scheduler, Duration deadline, MonotonicClock clock, RandomGenerator random) {
        this.log = Objects.requireNonNull(log, "log");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        this.deadline = Objects.requireNonNull(deadline, "deadline");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Returns a client that gives up on a log that does not answer after {@code deadline}. */
    public static ConfigurationClient of(PlatformLog log, Scheduler scheduler, Duration deadline) {
        return of(log, scheduler, deadline, MonotonicClock.system(), RandomGenerator.getDefault());
    }

    /** Returns a client with the given clock and source of jitter. */
    public static ConfigurationClient of(
            PlatformLog log, Scheduler scheduler, Duration deadline, MonotonicClock clock, RandomGenerator random) {
        return new ConfigurationClient(log, scheduler, deadline, clock, random);
    }

    /** Begins from a daemon's state, {@link ConfigurationService#exportState()}, instead of the oldest record. */
    public void begin(byte[] peerState) {
        PeerState peer = RecordCodec.decodePeer(peerState);
        state = stateMachine.importPeer(state, peer).state();
        next = StreamPosition.offset(state.position()) + 1;
    }

    /**
     * Reads to the end of the log and returns the accepted state.
     *
     * <p>Fails with {@code LOG_UNAVAILABLE} when the log does not answer, and with {@code UNAVAILABLE} when the log
     * holds neither its first record nor a complete snapshot.
     */
    public CompletableFuture<AcceptedState> state() {
        long until = until();
        return retried(this::readToEnd, until).thenApply(end -> {
            if (end > 0 && !state.origin().isComplete()) {
                throw CallFailure.of(
                        ErrorKind.UNAVAILABLE, "the log holds no complete snapshot; begin from a daemon's state");
            }
            return state.accepted();
        });
    }

    /** Reads to the end of the log and returns the decided change sets that are remembered, oldest first. */
    public CompletableFuture<List<HistoryEntry>> history() {
        return state().thenApply(AcceptedState::history);
    }

    /** Reads to the end of the log and returns the verdict that the change set would get now, without applying it. */
    public CompletableFuture<Verdict> validate(ChangeSet change) {
        return state().thenApply(read -> {
            long offset = StreamPosition.offset(state.position()) + 1;
            return stateMachine.apply(state, offset, change).verdict();
        });
    }

    /**
     * Appends a change set and reads what the log's order made of it.
     *
     * <p>After a lost answer it looks for the change's id in the log, and appends again only when it is not there; a
     * second record with the same id changes nothing.
     */
    public CompletableFuture<ApplyResult> apply(ChangeSet change) {
        return append(change, RecordCodec.encode(change), until(), 0, false);
    }

    private CompletableFuture<ApplyResult> append(
            ChangeSet change, byte[] data, long until, int failures, boolean mayBeAppended) {
        return log.append(ConfigurationService.STREAM, List.of(data))
                .thenCompose(offset -> verdictOf(change, offset, until))
                .exceptionallyCompose(error -> {
                    CallFailure failure = CallFailure.from(error);
                    boolean unknown = mayBeAppended || failure.ran() != Ran.NO;
                    if (clock.nanos() >= until) {
                        return CompletableFuture.completedFuture(ApplyResult.failed(unknown, failure.getMessage()));
                    }
                    return delayed(failures + 1)
                            .thenCompose(waited -> again(change, data, until, failures + 1, unknown));
                });
    }

    private CompletableFuture<ApplyResult> again(
            ChangeSet change, byte[] data, long until, int failures, boolean mayBeAppended) {
        if (!mayBeAppended) {
            return append(change, data, until, failures, false);
        }
        return retried(this::readToEnd, until)
                .handle((end, error) -> Optional.ofNullable(error))
                .thenCompose(error -> {
                    Optional<ApplyResult> found = state.accepted()
                            .findDecision(change.id())
                            .map(entry -> ApplyResult.of(entry.verdict()))
                            .or(() -> error.map(cause -> ApplyResult.failed(
                                    true, CallFailure.from(cause).getMessage())));
                    return found.map(CompletableFuture::completedFuture)
                            .orElseGet(() -> append(change, data, until, failures, true));
                });
    }

    private CompletableFuture<ApplyResult> verdictOf(ChangeSet change, long offset, long until) {
        return retried(() -> readTo(offset + 1), until).handle((end, error) -> state.accepted()
                .findDecision(change.id())
                .map(entry -> ApplyResult.of(entry.verdict()))
                .orElseGet(() -> ApplyResult.failed(
                        true, error == null ? "the log was read without its verdict" : error.getMessage())));
    }

    private CompletableFuture<Long> readToEnd() {
        return readPage().thenCompose(page -> page.end() > next ? readTo(page.end()) : completed(page.end()));
    }

    private CompletableFuture<Long> readTo(long end) {
        return next >= end ? completed(end) : readPage().thenCompose(page -> readTo(end));
    }

    private CompletableFuture<LogPage> readPage() {
        return log.read(ConfigurationService.STREAM, next, PAGE_LIMIT).thenApply(page -> {
            if (page.end() < next) {
                throw CallFailure.of(ErrorKind.UNAVAILABLE, "the offsets of the log have restarted");
            }
            next = Math.max(next, page.oldest());
            for (LogRecord record : page.records()) {
                ConfigurationRecord decoded = RecordCodec.decode(record.data());
                state = stateMachine.apply(state, record.offset(), decoded).state();
                next = Math.max(next, record.offset() + 1);
            }
            if (page.records().isEmpty()) {
                next = page.end();
            }
            return page;
        });
    }

    private <T> CompletableFuture<T> retried(Supplier<CompletableFuture<T>> call, long until) {
        return retried(call, until, 1);
    }

    private <T> CompletableFuture<T> retried(Supplier<CompletableFuture<T>> call, long until, int failures) {
        return call.get().exceptionallyCompose(error -> {
            CallFailure failure = CallFailure.from(error);
            if (failure.kind() != ErrorKind.LOG_UNAVAILABLE || clock.nanos() >= until) {
                return failure.asFuture();
            }
            return delayed(failures).thenCompose(waited -> retried(call, until, failures + 1));
        });
    }

    private CompletableFuture<Void> delayed(int failures) {
        CompletableFuture<Void> waited = new CompletableFuture<>();
        scheduler.schedule(backoff.delay(failures, random), () -> waited.complete(null));
        return waited;
    }

    private long until() {
        return clock.nanos() + deadline.toNanos();
    }

    private static CompletableFuture<Long> completed(long end) {
        return CompletableFuture.completedFuture(end);
    }
}
