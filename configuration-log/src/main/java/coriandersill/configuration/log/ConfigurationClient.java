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
 * <p>The given log's reads must return immediately at its end instead of waiting for a record. Not thread-safe: only
 * one operation may be in progress at a time. Applying the same change set again, even from another process, has no
 * further effect, because its first verdict is found by its id.
 */
public final class ConfigurationClient {
    private static final int MAX_RECORDS_PER_PAGE = 500;

    private final PlatformLog log;
    private final Scheduler scheduler;
    private final Duration timeout;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Backoff backoff = new Backoff(Duration.ofMillis(100), Duration.ofSeconds(2));
    private final ConfigurationStateMachine stateMachine = ConfigurationStateMachine.of(StandardRule.all());

    private ConfigurationState state = ConfigurationState.initial();
    private long nextOffset;

    private ConfigurationClient(
            PlatformLog log, Scheduler scheduler, Duration timeout, MonotonicClock clock, RandomGenerator random) {
        this.log = Objects.requireNonNull(log, "log");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        this.timeout = Objects.requireNonNull(timeout, "timeout");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Returns a client that stops retrying {@code timeout} after the start of an operation if the log does not answer.
     */
    public static ConfigurationClient of(PlatformLog log, Scheduler scheduler, Duration timeout) {
        return of(log, scheduler, timeout, MonotonicClock.system(), RandomGenerator.getDefault());
    }

    /** Returns a client with the given clock and source of randomness for jitter. */
    public static ConfigurationClient of(
            PlatformLog log, Scheduler scheduler, Duration timeout, MonotonicClock clock, RandomGenerator random) {
        return new ConfigurationClient(log, scheduler, timeout, clock, random);
    }

    /**
     * Starts from a daemon's {@link ConfigurationService#exportState()} and the log after it, not the oldest record.
     */
    public void startFrom(byte[] peerState) {
        PeerState peer = RecordCodec.decodePeerState(peerState);
        state = stateMachine.importPeer(state, peer).state();
        nextOffset = StreamPosition.offset(state.position()) + 1;
    }

    /**
     * Reads to the end of the log and returns the accepted state.
     *
     * <p>Fails with {@code LOG_UNAVAILABLE} if the log does not answer, and with {@code UNAVAILABLE} if the log
     * contains neither its first record nor a complete snapshot.
     */
    public CompletableFuture<AcceptedState> state() {
        long deadlineNanos = deadlineNanos();
        return withRetries(this::readToEnd, deadlineNanos).thenApply(end -> {
            if (end > 0 && !state.origin().isComplete()) {
                throw CallFailure.of(
                        ErrorKind.UNAVAILABLE,
                        "the log has neither its first record nor a complete snapshot; start from a daemon's state");
            }
            return state.accepted();
        });
    }

    /** Reads to the end of the log and returns the decided change sets in the history, oldest first. */
    public CompletableFuture<List<HistoryEntry>> history() {
        return state().thenApply(AcceptedState::history);
    }

    /** Reads to the end of the log and returns the verdict that the change set would receive, without appending it. */
    public CompletableFuture<Verdict> validate(ChangeSet change) {
        return state().thenApply(accepted -> {
            long offset = StreamPosition.offset(state.position()) + 1;
            return stateMachine.apply(state, offset, change).verdict();
        });
    }

    /**
     * Appends a change set to the log and reads the verdict on it.
     *
     * <p>If the answer to the append is lost, the change set is looked up in the log by its id and appended again only
     * if it is not found. A second record with the same id changes nothing.
     */
    public CompletableFuture<ApplyResult> apply(ChangeSet change) {
        return append(change, RecordCodec.encode(change), deadlineNanos(), 0, false);
    }

    private CompletableFuture<ApplyResult> append(
            ChangeSet change, byte[] data, long deadlineNanos, int failureCount, boolean mayAlreadyBeAppended) {
        return log.append(ConfigurationService.STREAM, List.of(data))
                .thenCompose(offset -> readVerdict(change, offset, deadlineNanos))
                .exceptionallyCompose(error -> {
                    CallFailure failure = CallFailure.from(error);
                    boolean mayBeAppended = mayAlreadyBeAppended || failure.ran() != Ran.NO;
                    if (clock.nanos() >= deadlineNanos) {
                        return CompletableFuture.completedFuture(
                                ApplyResult.failed(mayBeAppended, failure.getMessage()));
                    }
                    return backoffDelay(failureCount + 1)
                            .thenCompose(unused ->
                                    retryAppend(change, data, deadlineNanos, failureCount + 1, mayBeAppended));
                });
    }

    private CompletableFuture<ApplyResult> retryAppend(
            ChangeSet change, byte[] data, long deadlineNanos, int failureCount, boolean mayBeAppended) {
        if (!mayBeAppended) {
            return append(change, data, deadlineNanos, failureCount, false);
        }
        return withRetries(this::readToEnd, deadlineNanos)
                .handle((end, error) -> Optional.ofNullable(error))
                .thenCompose(error -> {
                    Optional<ApplyResult> result = state.accepted()
                            .findDecision(change.id())
                            .map(entry -> ApplyResult.of(entry.verdict()))
                            .or(() -> error.map(cause -> ApplyResult.failed(
                                    true, CallFailure.from(cause).getMessage())));
                    return result.map(CompletableFuture::completedFuture)
                            .orElseGet(() -> append(change, data, deadlineNanos, failureCount, true));
                });
    }

    private CompletableFuture<ApplyResult> readVerdict(ChangeSet change, long offset, long deadlineNanos) {
        return withRetries(() -> readTo(offset + 1), deadlineNanos).handle((end, error) -> state.accepted()
                .findDecision(change.id())
                .map(entry -> ApplyResult.of(entry.verdict()))
                .orElseGet(() -> ApplyResult.failed(
                        true,
                        error == null
                                ? "read the log up to offset " + offset + " without a verdict on the change set"
                                : error.getMessage())));
    }

    private CompletableFuture<Long> readToEnd() {
        return readPage().thenCompose(page -> page.end() > nextOffset ? readTo(page.end()) : completed(page.end()));
    }

    private CompletableFuture<Long> readTo(long end) {
        return nextOffset >= end ? completed(end) : readPage().thenCompose(page -> readTo(end));
    }

    private CompletableFuture<LogPage> readPage() {
        return log.read(ConfigurationService.STREAM, nextOffset, MAX_RECORDS_PER_PAGE)
                .thenApply(page -> {
                    if (page.end() < nextOffset) {
                        throw CallFailure.of(
                                ErrorKind.UNAVAILABLE,
                                "the offsets of the log have restarted: expected an end of " + nextOffset
                                        + " or more, found " + page.end());
                    }
                    nextOffset = Math.max(nextOffset, page.oldest());
                    for (LogRecord record : page.records()) {
                        ConfigurationRecord decoded = RecordCodec.decode(record.data());
                        state = stateMachine
                                .apply(state, record.offset(), decoded)
                                .state();
                        nextOffset = Math.max(nextOffset, record.offset() + 1);
                    }
                    if (page.records().isEmpty()) {
                        nextOffset = page.end();
                    }
                    return page;
                });
    }

    private <T> CompletableFuture<T> withRetries(Supplier<CompletableFuture<T>> call, long deadlineNanos) {
        return withRetries(call, deadlineNanos, 1);
    }

    private <T> CompletableFuture<T> withRetries(
            Supplier<CompletableFuture<T>> call, long deadlineNanos, int failureCount) {
        return call.get().exceptionallyCompose(error -> {
            CallFailure failure = CallFailure.from(error);
            if (failure.kind() != ErrorKind.LOG_UNAVAILABLE || clock.nanos() >= deadlineNanos) {
                return failure.asFuture();
            }
            return backoffDelay(failureCount).thenCompose(unused -> withRetries(call, deadlineNanos, failureCount + 1));
        });
    }

    private CompletableFuture<Void> backoffDelay(int failureCount) {
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        scheduler.schedule(backoff.delay(failureCount, random), () -> elapsed.complete(null));
        return elapsed;
    }

    private long deadlineNanos() {
        return clock.nanos() + timeout.toNanos();
    }

    private static CompletableFuture<Long> completed(long end) {
        return CompletableFuture.completedFuture(end);
    }
}
