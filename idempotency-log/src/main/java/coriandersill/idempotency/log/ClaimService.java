package coriandersill.idempotency.log;

import coriandersill.core.CallFailure;
import coriandersill.core.CallId;
import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.core.ManagedService;
import coriandersill.core.MonotonicClock;
import coriandersill.core.Ran;
import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import coriandersill.events.LoopGuard;
import coriandersill.idempotency.ClaimEffect;
import coriandersill.idempotency.ClaimRecord;
import coriandersill.idempotency.HeldClaim;
import coriandersill.idempotency.IdempotencyTable;
import coriandersill.idempotency.KeyState;
import coriandersill.idempotency.Outcome;
import coriandersill.sharedlog.AppendMode;
import coriandersill.sharedlog.BatchingAppender;
import coriandersill.sharedlog.LogFollower;
import coriandersill.sharedlog.LogNotice;
import coriandersill.sharedlog.LogRecord;
import coriandersill.sharedlog.PlatformLog;
import coriandersill.sharedlog.Scheduler;
import coriandersill.sharedlog.StepTimer;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;

/**
 * Grants the right to run to one call per idempotency key, according to the order of claims in the platform's log.
 *
 * <pre>{@code
 * ClaimService claims = ClaimService.builder(log, scheduler, InstanceId.of("entry-1"), incarnation).build();
 * claims.start();
 * claims.claim(new ClaimRequest(key, fingerprint, Duration.ofSeconds(30))).thenAccept(result -> ...);
 * }</pre>
 *
 * <p>A claim is won when this process reads its own record back and the record is the first of its key; a lost response
 * to the append therefore has no effect. A claim that is read back after its caller stopped waiting is not used but
 * released. Thread-safe; callbacks run on the executor.
 */
public final class ClaimService implements ManagedService {
    private static final Duration REFUSAL_RETRY_AFTER = Duration.ofSeconds(2);
    private static final Duration MARKER_RETRY_DELAY = Duration.ofSeconds(1);
    private static final Duration SETTLEMENT_CHECK_INTERVAL = Duration.ofMillis(20);
    private static final Duration SETTLEMENT_RETRY_STALL_BOUND = Duration.ofSeconds(10);
    private static final Duration STOP_STALL_BOUND = Duration.ofSeconds(1);

    /** Longer than a marker may wait to be appended. */
    private static final Duration MARKER_STALL_BOUND = Duration.ofSeconds(45);

    private final InstanceId instance;
    private final long incarnation;
    private final Duration claimTimeout;
    private final int maxStoredBodyBytes;
    private final MonotonicClock clock;
    private final InstantSource wallClock;
    private final RandomGenerator random;
    private final Scheduler scheduler;
    private final EventLog events;
    private final IdempotencyTable table;
    private final PendingClaims pendingClaims = new PendingClaims();
    private final BatchingAppender claimAppender;
    private final SettlementAppender settlementAppender;
    private final LogFollower follower;
    private final LoopGuard markerGuard;
    private final StepTimer markerTimer;
    private final LoopGuard stopGuard;
    private final StepTimer stopTimer;
    private final CompletableFuture<Void> started = new CompletableFuture<>();
    private final byte[] marker;
    private final AtomicBoolean markerAppendInProgress = new AtomicBoolean();
    /** Whether the marker, and thus every record before it, has been read back. */
    private volatile boolean caughtUp;

    private volatile boolean stopped;
    private volatile boolean logUnavailable;

    ClaimService(ClaimServiceBuilder builder) {
        this.instance = builder.instance;
        this.incarnation = builder.incarnation;
        this.claimTimeout = builder.claimTimeout;
        this.maxStoredBodyBytes = builder.maxStoredBodyBytes;
        this.clock = builder.clock;
        this.wallClock = builder.wallClock;
        this.random = builder.random;
        this.scheduler = builder.scheduler;
        this.events = builder.events;
        this.table = IdempotencyTable.of(builder.window, builder.maxKeys, builder.maxTotalBodyBytes);
        this.claimAppender = builder.appender("claims", builder.claimBatchInterval, builder.claimTimeout);
        this.settlementAppender = new SettlementAppender(
                builder.appender("settlements", builder.settlementBatchInterval, builder.settlementTimeout),
                builder.scheduler,
                builder.loops.register("retries of settlements", SETTLEMENT_RETRY_STALL_BOUND));
        this.markerGuard = builder.loops.register("marker of the claims", MARKER_STALL_BOUND);
        this.markerTimer = StepTimer.of(builder.scheduler, markerGuard);
        this.stopGuard = builder.loops.register("stop of the claims", STOP_STALL_BOUND);
        this.stopTimer = StepTimer.of(builder.scheduler, stopGuard);
        // The marker is also appended during an outage: once the log is available again, it ends the follower's pending
        // read, so that the end of the outage is noticed.
        this.marker = ClaimCodec.marker(CallId.random(builder.random));
        this.follower = LogFollower.builder(builder.log, builder.stream, builder.scheduler)
                .executor(builder.executor)
                .random(builder.random)
                .clock(builder.clock)
                .handler(this::onRecord)
                .notices(this::onNotice)
                .guard(builder.loops.register("reads of claims", LogFollower.STALL_BOUND))
                .build();
    }

    /** Returns a builder for the entry {@code instance}; the incarnation must increase with every start. */
    public static ClaimServiceBuilder builder(
            PlatformLog log, Scheduler scheduler, InstanceId instance, long incarnation) {
        return new ClaimServiceBuilder(log, scheduler, instance, incarnation);
    }

    /**
     * Starts reading the claims in the log. The future completes when this service has read back a marker that it
     * appends, and thus all records before it.
     */
    @Override
    public CompletableFuture<Void> start() {
        table.setHistoryStart(Instant.MIN);
        CompletableFuture<Void> unused = follower.start();
        appendMarker();
        return started.copy();
    }

    /**
     * Refuses new claims and those that have not been read back, and waits up to {@code grace} until releases and
     * outcomes have been appended.
     */
    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        stopped = true;
        markerGuard.rest();
        CallFailure failure = CallFailure.of(ErrorKind.DRAINING, "the call was not run: the entry is going down");
        pendingClaims.removeAll().forEach(claim -> claim.result().complete(new ClaimResult.Refused(failure)));
        CompletableFuture<Void> done = new CompletableFuture<>();
        stopGuard.begin();
        awaitSettlements(clock.nanos() + grace.toNanos(), done);
        return done.thenCompose(nothing -> follower.stop(Duration.ZERO));
    }

    /** Whether the existing claims have been read and the log is available. */
    public boolean ready() {
        return caughtUp && !stopped && !logUnavailable;
    }

    /** The number of keys in the table. */
    public int size() {
        return table.size();
    }

    /**
     * Requests the right to run a call. The future never completes exceptionally: {@link ClaimResult.Refused} contains
     * the failure. A key that is already claimed is answered without an append.
     */
    public CompletableFuture<ClaimResult> claim(ClaimRequest request) {
        KeyState state = caughtUp
                ? table.find(request.key(), request.fingerprint(), wallClock.instant())
                : new KeyState.Refused(notReadyFailure());
        if (!(state instanceof KeyState.Unclaimed)) {
            return CompletableFuture.completedFuture(ClaimResult.of(state, notReadyFailure()));
        }
        if (!ready()) {
            return CompletableFuture.completedFuture(new ClaimResult.Refused(notReadyFailure()));
        }
        return appendClaim(request);
    }

    /** Releases a claim whose call has not run and never will; completes with whether the first append succeeded. */
    public CompletableFuture<Boolean> release(HeldClaim claim) {
        return settlementAppender.append(new ClaimRecord.Released(claim.key(), claim.token()));
    }

    /** Records the outcome of a call; completes with whether the first append succeeded. Long bodies are not stored. */
    public CompletableFuture<Boolean> complete(HeldClaim claim, int status, String contentType, byte[] body) {
        Outcome outcome = Outcome.of(status, contentType, body, maxStoredBodyBytes);
        return settlementAppender.append(new ClaimRecord.Completed(claim.key(), claim.token(), outcome));
    }

    private CompletableFuture<ClaimResult> appendClaim(ClaimRequest request) {
        CallId claimId = CallId.random(random);
        long validUntilNanos = clock.nanos() + request.lifetime().toNanos();
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        if (!pendingClaims.add(new PendingClaims.PendingClaim(request.key(), claimId, validUntilNanos, result))) {
            return CompletableFuture.completedFuture(new ClaimResult.InProgress());
        }
        ClaimRecord.Claimed claim = new ClaimRecord.Claimed(
                request.key(), request.fingerprint(), claimId, instance, incarnation, request.lifetime());
        Scheduler.ScheduledTask timeout = scheduler.schedule(
                claimTimeout, () -> failPending(claimId, "its claim did not come back within " + claimTimeout));
        CompletableFuture<Long> unused = claimAppender
                .append(ClaimCodec.encode(claim), AppendMode.AT_MOST_ONCE)
                .whenComplete((offset, error) -> {
                    if (error != null && CallFailure.from(error).ran() == Ran.NO) {
                        failPending(claimId, "the log refused its claim");
                    }
                });
        return result.whenComplete((any, error) -> timeout.cancel());
    }

    private void failPending(CallId claimId, String reason) {
        PendingClaims.PendingClaim claim = pendingClaims.remove(claimId);
        if (claim != null) {
            claim.result().complete(ClaimResult.logUnavailable(reason));
        }
    }

    private void appendMarker() {
        if (!stopped && markerAppendInProgress.compareAndSet(false, true)) {
            markerGuard.begin();
            markerTimer.run(this::sendMarker, MARKER_RETRY_DELAY, this::retryMarker);
        }
    }

    private void sendMarker() {
        CompletableFuture<Void> unused = settlementAppender.appendMarker(marker).thenAccept(appended -> {
            if (appended) {
                markerGuard.rest();
                markerAppendInProgress.set(false);
            } else {
                markerGuard.markProgress();
                markerTimer.schedule(MARKER_RETRY_DELAY, this::retryMarker);
            }
        });
    }

    private void retryMarker() {
        markerAppendInProgress.set(false);
        appendMarker();
    }

    private void onRecord(LogRecord record) {
        if (!caughtUp && Arrays.equals(record.data(), marker)) {
            caughtUp = true;
            started.complete(null);
            return;
        }
        ClaimCodec.decode(record.data()).ifPresent(decoded -> {
            ClaimEffect effect = table.apply(record.offset(), record.time(), decoded);
            if (effect instanceof ClaimEffect.Won won && isOwn(won.claim())) {
                onClaimWon(won);
            } else if (effect instanceof ClaimEffect.Lost lost) {
                completePending(lost.claimId(), ClaimResult.of(lost.state(), notReadyFailure()));
            } else if (effect instanceof ClaimEffect.Undecided undecided && isOwn(undecided.claim())) {
                releaseClaim(undecided.claim(), undecided.token());
                completePending(undecided.claim().claimId(), new ClaimResult.Refused(notReadyFailure()));
            }
        });
    }

    private boolean isOwn(ClaimRecord.Claimed claim) {
        return claim.holder().equals(instance) && claim.incarnation() == incarnation;
    }

    private void onClaimWon(ClaimEffect.Won won) {
        PendingClaims.PendingClaim pending = pendingClaims.remove(won.claim().claimId());
        if (pending != null && clock.nanos() - pending.validUntilNanos() < 0) {
            HeldClaim heldClaim =
                    new HeldClaim(pending.key(), won.token(), pending.claimId(), pending.validUntilNanos());
            pending.result().complete(new ClaimResult.Won(heldClaim));
            return;
        }
        releaseClaim(won.claim(), won.token());
        if (pending != null) {
            pending.result().complete(ClaimResult.logUnavailable("its claim came back after its lifetime"));
        }
    }

    private void releaseClaim(ClaimRecord.Claimed claim, long token) {
        CompletableFuture<Boolean> unused = settlementAppender.append(new ClaimRecord.Released(claim.key(), token));
    }

    private void completePending(CallId claimId, ClaimResult result) {
        PendingClaims.PendingClaim claim = pendingClaims.remove(claimId);
        if (claim != null) {
            claim.result().complete(result);
        }
    }

    /**
     * Handles a notice of the follower. Records that the log trims before this service has caught up are not treated as
     * lost: they are older than the log's retention and thus outside the window.
     */
    private void onNotice(LogNotice notice) {
        if (notice instanceof LogNotice.Unavailable down) {
            logUnavailable = true;
            events.record(
                    EventCode.LOG_DOWN,
                    Map.of("stream", "claims", "reason", down.failure().getMessage()));
            appendMarker();
        } else if (notice instanceof LogNotice.Available) {
            logUnavailable = false;
            events.record(EventCode.LOG_UP, Map.of("stream", "claims"));
        } else if (notice instanceof LogNotice.Repeated) {
            events.record(EventCode.CONFIGURATION_OFFSETS, Map.of("stream", "claims", "notice", notice));
        } else if (notice instanceof LogNotice.Restarted) {
            table.resetOffsets();
            onRecordsLost(notice);
        } else if (caughtUp || !(notice instanceof LogNotice.Trimmed)) {
            onRecordsLost(notice);
        }
    }

    /**
     * Refuses the keys that may have been claimed by a lost record. The log accepted the lost records no later than
     * now, by its own clock, which may be ahead of the local one by up to the maximum clock skew.
     */
    private void onRecordsLost(LogNotice notice) {
        table.setHistoryStart(wallClock.instant().plus(table.window().maxClockSkew()));
        events.record(EventCode.CONFIGURATION_OFFSETS, Map.of("stream", "claims", "notice", notice));
    }

    private void awaitSettlements(long deadlineNanos, CompletableFuture<Void> done) {
        if (settlementAppender.pendingRecordCount() == 0 || clock.nanos() - deadlineNanos >= 0) {
            stopGuard.rest();
            done.complete(null);
        } else {
            stopGuard.markProgress();
            stopTimer.schedule(SETTLEMENT_CHECK_INTERVAL, () -> awaitSettlements(deadlineNanos, done));
        }
    }

    private CallFailure notReadyFailure() {
        String reason = stopped ? "the entry is going down" : "the claims in the log are not all known here";
        return CallFailure.of(ErrorKind.LOG_UNAVAILABLE, "the call was not run: " + reason)
                .withRetryAfter(REFUSAL_RETRY_AFTER);
    }
}
