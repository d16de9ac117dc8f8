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
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;

/**
 * Gives one call for each idempotency key the right to run, by the order of claims in the platform's log.
 *
 * <pre>{@code
 * ClaimService claims = ClaimService.builder(log, scheduler, InstanceId.of("entry-1"), incarnation).build();
 * claims.start();
 * claims.claim(new ClaimRequest(key, fingerprint, Duration.ofSeconds(30))).thenAccept(result -> ...);
 * }</pre>
 *
 * <p>A claim is won when this process reads its own record back and it is the first of its key, so that an answer of
 * the log that is lost does no harm. A claim that comes too late for its caller is never used; it is released when it
 * shows up. Safe for use by many threads; callbacks run on the executor.
 */
public final class ClaimService implements ManagedService {
    private static final Duration REFUSED_RETRY = Duration.ofSeconds(2);
    private static final Duration MARKER_RETRY = Duration.ofSeconds(1);

    private final InstanceId instance;
    private final long incarnation;
    private final Duration claimWait;
    private final int maxBody;
    private final MonotonicClock clock;
    private final InstantSource time;
    private final RandomGenerator random;
    private final Scheduler scheduler;
    private final EventLog events;
    private final IdempotencyTable table;
    private final PendingClaims pending = new PendingClaims();
    private final BatchingAppender claims;
    private final SettlementAppender settlements;
    private final LogFollower follower;
    private final CompletableFuture<Void> started = new CompletableFuture<>();
    private final byte[] marker;
    private final AtomicBoolean markerUnderWay = new AtomicBoolean();
    private volatile boolean ready;
    private volatile boolean stopped;
    private volatile boolean logDown;

    ClaimService(ClaimServiceBuilder builder) {
        this.instance = builder.instance;
        this.incarnation = builder.incarnation;
        this.claimWait = builder.claimTimeout;
        this.maxBody = builder.maxStoredBodyBytes;
        this.clock = builder.clock;
        this.time = builder.wallClock;
        this.random = builder.random;
        this.scheduler = builder.scheduler;
        this.events = builder.events;
        this.table = IdempotencyTable.of(builder.window, builder.maxKeys, builder.maxBodyBytes);
        this.claims = builder.appender(builder.claimInterval, builder.claimTimeout);
        this.settlements = new SettlementAppender(
                builder.appender(builder.settlementInterval, builder.settlementWait), builder.scheduler);
        // Read back after an outage, it tells the follower that the log answers again.
        this.marker = ClaimCodec.marker(CallId.random(builder.random));
        this.follower = LogFollower.builder(builder.log, builder.stream, builder.scheduler)
                .executor(builder.executor)
                .random(builder.random)
                .clock(builder.clock)
                .handler(this::read)
                .notices(this::noticed)
                .build();
    }

    /** Returns a builder for the claims of the entry {@code instance}, whose incarnation rises with every start. */
    public static ClaimServiceBuilder builder(
            PlatformLog log, Scheduler scheduler, InstanceId instance, long incarnation) {
        return new ClaimServiceBuilder(log, scheduler, instance, incarnation);
    }

    /**
     * Begins to read the claims that the log keeps; completes when a marker that this service appends has come back,
     * with all that was there before it.
     */
    @Override
    public CompletableFuture<Void> start() {
        table.setHistoryStart(Instant.MIN);
        CompletableFuture<Void> unused = follower.start();
        appendMarker();
        return started.copy();
    }

    /** Refuses new claims, and waits up to {@code grace} for the log to take releases and outcomes. */
    @Override
    public CompletableFuture<Void> stop(Duration grace) {
        stopped = true;
        CallFailure failure = CallFailure.of(ErrorKind.DRAINING, "the call was not run: the entry is going down");
        pending.removeAll().forEach(claim -> claim.result().complete(new ClaimResult.Refused(failure)));
        CompletableFuture<Void> done = new CompletableFuture<>();
        awaitSettled(clock.nanos() + grace.toNanos(), done);
        return done.thenCompose(nothing -> follower.stop(Duration.ZERO));
    }

    /** Whether the claims that the log keeps were read and the log answers. */
    public boolean ready() {
        return ready && !stopped && !logDown;
    }

    /** How many keys are remembered. */
    public int size() {
        return table.size();
    }

    /**
     * Asks for the right to run a call. The future never fails: {@link ClaimResult.Refused} carries the failure. A key
     * that is known is answered without the log.
     */
    public CompletableFuture<ClaimResult> claim(ClaimRequest request) {
        KeyState state = ready
                ? table.find(request.key(), request.fingerprint(), time.instant())
                : new KeyState.Refused(notReady());
        if (!(state instanceof KeyState.Unclaimed)) {
            return CompletableFuture.completedFuture(ClaimResult.of(state, notReady()));
        }
        if (!ready()) {
            return CompletableFuture.completedFuture(new ClaimResult.Refused(notReady()));
        }
        return send(request);
    }

    /** Gives a claim back whose call has not run and never will; completes with whether the log has taken it. */
    public CompletableFuture<Boolean> release(HeldClaim hold) {
        return settlements.append(new ClaimRecord.Released(hold.key(), hold.token()));
    }

    /** States the outcome of a call; completes with whether the log has taken it. Long bodies are not kept. */
    public CompletableFuture<Boolean> complete(HeldClaim hold, int status, String contentType, byte[] body) {
        Outcome outcome = Outcome.of(status, contentType, body, maxBody);
        return settlements.append(new ClaimRecord.Completed(hold.key(), hold.token(), outcome));
    }

    private CompletableFuture<ClaimResult> send(ClaimRequest request) {
        CallId call = CallId.random(random);
        long usableUntil = clock.nanos() + request.lifetime().toNanos();
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        if (!pending.add(new PendingClaims.PendingClaim(request.key(), call, usableUntil, result))) {
            return CompletableFuture.completedFuture(new ClaimResult.InProgress());
        }
        ClaimRecord.Claimed claim = new ClaimRecord.Claimed(
                request.key(), request.fingerprint(), call, instance, incarnation, request.lifetime());
        Scheduler.ScheduledTask timeout =
                scheduler.schedule(claimWait, () -> abandon(call, "its claim did not come back within " + claimWait));
        CompletableFuture<Long> unused = claims.append(ClaimCodec.encode(claim), AppendMode.AT_MOST_ONCE)
                .whenComplete((offset, error) -> {
                    if (error != null && CallFailure.from(error).ran() == Ran.NO) {
                        abandon(call, "the log refused its claim");
                    }
                });
        return result.whenComplete((any, error) -> timeout.cancel());
    }

    private void abandon(CallId call, String reason) {
        PendingClaims.PendingClaim claim = pending.remove(call);
        if (claim != null) {
            claim.result().complete(ClaimResult.logUnavailable(reason));
        }
    }

    private void appendMarker() {
        if (stopped || !markerUnderWay.compareAndSet(false, true)) {
            return;
        }
        CompletableFuture<Boolean> unused = settlements.appendMarker(marker).whenComplete((taken, error) -> {
            markerUnderWay.set(false);
            if (!taken) {
                scheduler.schedule(MARKER_RETRY, this::appendMarker);
            }
        });
    }

    private void read(LogRecord record) {
        if (!ready && Arrays.equals(record.data(), marker)) {
            ready = true;
            started.complete(null);
            return;
        }
        ClaimCodec.decode(record.data()).ifPresent(decoded -> {
            ClaimEffect effect = table.apply(record.offset(), record.time(), decoded);
            if (effect instanceof ClaimEffect.Won won && isOwn(won.claim())) {
                won(won);
            } else if (effect instanceof ClaimEffect.Lost lost) {
                conclude(lost.call(), ClaimResult.of(lost.state(), notReady()));
            } else if (effect instanceof ClaimEffect.Undecided undecided && isOwn(undecided.claim())) {
                giveBack(undecided.claim(), undecided.token());
                conclude(undecided.claim().call(), new ClaimResult.Refused(notReady()));
            }
        });
    }

    private boolean isOwn(ClaimRecord.Claimed claim) {
        return claim.holder().equals(instance) && claim.incarnation() == incarnation;
    }

    private void won(ClaimEffect.Won won) {
        PendingClaims.PendingClaim claim = pending.remove(won.claim().call());
        if (claim != null && clock.nanos() - claim.usableUntilNanos() < 0) {
            HeldClaim hold = new HeldClaim(claim.key(), won.token(), claim.call(), claim.usableUntilNanos());
            claim.result().complete(new ClaimResult.Won(hold));
            return;
        }
        giveBack(won.claim(), won.token());
        if (claim != null) {
            claim.result().complete(ClaimResult.logUnavailable("its claim came back after its lifetime"));
        }
    }

    private void giveBack(ClaimRecord.Claimed claim, long token) {
        CompletableFuture<Boolean> unused = settlements.append(new ClaimRecord.Released(claim.key(), token));
    }

    private void conclude(CallId call, ClaimResult result) {
        PendingClaims.PendingClaim claim = pending.remove(call);
        if (claim != null) {
            claim.result().complete(result);
        }
    }

    private void noticed(LogNotice notice) {
        if (notice instanceof LogNotice.Unavailable down) {
            logDown = true;
            events.record(
                    EventCode.LOG_DOWN,
                    Map.of("stream", "claims", "reason", down.failure().getMessage()));
            appendMarker();
        } else if (notice instanceof LogNotice.Available) {
            logDown = false;
            events.record(EventCode.LOG_UP, Map.of("stream", "claims"));
        } else if (notice instanceof LogNotice.Repeated) {
            events.record(EventCode.CONFIGURATION_OFFSETS, Map.of("stream", "claims", "notice", notice));
        } else if (notice instanceof LogNotice.Restarted) {
            table.offsetsRestarted();
            recordsLost(notice);
        } else if (ready || !(notice instanceof LogNotice.Trimmed)) {
            recordsLost(notice);
        }
    }

    /**
     * Refuses the keys that may have been claimed by a lost record, none of which is later than now. What the log trims
     * before this service is ready is older than the retention, and so outside the window.
     */
    private void recordsLost(LogNotice notice) {
        table.setHistoryStart(time.instant().plus(table.window().maxClockSkew()));
        events.record(EventCode.CONFIGURATION_OFFSETS, Map.of("stream", "claims", "notice", notice));
    }

    private void awaitSettled(long deadlineNanos, CompletableFuture<Void> done) {
        if (settlements.pending() == 0 || clock.nanos() - deadlineNanos >= 0) {
            done.complete(null);
        } else {
            scheduler.schedule(Duration.ofMillis(20), () -> awaitSettled(deadlineNanos, done));
        }
    }

    private CallFailure notReady() {
        String reason = stopped ? "the entry is going down" : "the claims in the log are not all known here";
        return CallFailure.of(ErrorKind.LOG_UNAVAILABLE, "the call was not run: " + reason)
                .withRetryAfter(REFUSED_RETRY);
    }
}
