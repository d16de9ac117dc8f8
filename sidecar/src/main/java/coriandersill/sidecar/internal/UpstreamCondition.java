package coriandersill.sidecar.internal;

import com.codahale.metrics.Counter;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import coriandersill.events.EventCode;
import coriandersill.events.LoopGuard;
import coriandersill.events.Loops;
import coriandersill.upstreams.UpstreamStatement;
import coriandersill.upstreams.UpstreamStatements;
import coriandersill.wire.Message;
import io.vertx.core.AsyncResult;
import io.vertx.core.MultiMap;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * What the current process of the upstream said of itself in its responses: that it leaves, and until when it wants no
 * request. A statement ends with its process, which is known to have ended when nothing listens on its address.
 *
 * <p>Thread-safe: guarded by a lock of rank {@link LockRank#MEMBERSHIP}.
 */
public final class UpstreamCondition {
    /** The header with which an upstream says that it leaves, if its value is 1. */
    private static final String LEAVING_HEADER = "Coriandersill-Leaving";

    private static final String RETRY_AFTER_HEADER = "Retry-After";

    /** Shorter than the time between the end of an upstream's process and the start of the next. */
    private static final long PROCESS_CHECK_INTERVAL_MILLIS = 100;

    /** Longer than an attempt to connect. */
    private static final Duration STALL_BOUND = Duration.ofSeconds(5);

    private final RankedLock lock = RankedLock.of(LockRank.MEMBERSHIP);
    private final UpstreamStatements statements = new UpstreamStatements();
    private final SidecarContext sidecar;
    private final UpstreamClient upstreamClient;
    private final Runnable onChange;
    private final InstanceId self;
    private final LoopGuard guard;
    private final Counter ignoredStatements;

    /** The number of the upstream's current process; a statement is that of one process. */
    private long incarnation;

    private boolean checking;

    private UpstreamCondition(SidecarContext sidecar, UpstreamClient upstreamClient, Runnable onChange, Loops loops) {
        this.sidecar = sidecar;
        this.upstreamClient = upstreamClient;
        this.onChange = onChange;
        this.self = sidecar.settings().wire().self().instance();
        this.incarnation = sidecar.settings().wire().self().incarnation();
        this.guard = loops.register("checks of the upstream's process", STALL_BOUND);
        this.ignoredStatements = sidecar.metrics().counter("upstream.statements_ignored");
    }

    /** Returns the condition of an upstream that has said nothing; {@code onChange} runs when that changes. */
    public static UpstreamCondition of(
            SidecarContext sidecar, UpstreamClient upstreamClient, Runnable onChange, Loops loops) {
        return new UpstreamCondition(sidecar, upstreamClient, onChange, loops);
    }

    /** Records what a response of the upstream says. */
    void observe(int status, MultiMap headers) {
        UpstreamStatement statement =
                UpstreamStatement.of(status, headers.getAll(LEAVING_HEADER), headers.getAll(RETRY_AFTER_HEADER));
        if (statement.ignoresAnyValue()) {
            ignoredStatements.inc();
        }
        boolean newlyLeaving = lock.with(() -> {
            statement
                    .quietTime()
                    .ifPresent(time -> statements.addQuietTime(
                            self, incarnation, sidecar.clock().nanos() + time.toNanos()));
            return statement.leaving() && statements.addLeaving(self, incarnation);
        });
        if (newlyLeaving) {
            sidecar.events().record(EventCode.UPSTREAM_SAID_LEAVING, Map.of("upstream", self));
        }
        statement.quietTime().ifPresent(time -> sidecar.events()
                .record(
                        EventCode.UPSTREAM_QUIET,
                        Map.of("upstream", self, "asked_ms", time.toMillis(), "obeyed_ms", time.toMillis())));
        if (newlyLeaving || statement.quietTime().isPresent()) {
            startChecking();
            guard.run(onChange);
        }
    }

    /** Returns the failure of a call that may not be sent to the upstream now; empty if it may. */
    Optional<CallFailure> refusal() {
        Message.UpstreamNotice notice = notice();
        if (notice.leaving()) {
            return Optional.of(CallFailure.of(ErrorKind.DRAINING, "the upstream said that it leaves"));
        }
        return notice.quietTime().isZero()
                ? Optional.empty()
                : Optional.of(CallFailure.of(ErrorKind.OVERLOADED, "the upstream asked for no requests")
                        .withRetryAfter(notice.quietTime()));
    }

    /** Returns what entries are told of the upstream. */
    public Message.UpstreamNotice notice() {
        return lock.with(() -> new Message.UpstreamNotice(
                incarnation,
                statements.saysLeaving(self, incarnation),
                statements.quietTime(self, incarnation, sidecar.clock().nanos())));
    }

    /** Checks until its statements end whether the process still listens; only a connection is opened. */
    private void startChecking() {
        boolean start = lock.with(() -> {
            boolean first = !checking;
            checking = true;
            guard.begin();
            return first;
        });
        if (start) {
            guard.run(this::checkLater, this::checkLater);
        }
    }

    private void checkLater() {
        sidecar.vertx().setTimer(PROCESS_CHECK_INTERVAL_MILLIS, timer -> guard.run(this::check, this::checkLater));
    }

    private void check() {
        upstreamClient
                .refusesConnections()
                .onComplete(refuses -> guard.run(() -> onChecked(refuses), this::checkLater));
    }

    private void onChecked(AsyncResult<Boolean> refuses) {
        boolean ended = refuses.succeeded() && refuses.result();
        lock.run(() -> {
            incarnation += ended ? 1 : 0;
            checking = false;
            guard.rest();
        });
        if (ended) {
            guard.run(onChange);
        } else if (refusal().isPresent()) {
            startChecking();
        }
    }
}
