package coriandersill.sidecar.internal;

import coriandersill.core.CallId;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import coriandersill.events.LoopGuard;
import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The open calls of one sidecar by id; guarded by a lock of rank {@link LockRank#STREAMS}. */
public final class CallTable {
    private static final long DRAIN_POLL_INTERVAL_MILLIS = 20;

    private final RankedLock lock = RankedLock.of(LockRank.STREAMS);
    private final Map<CallId, OpenCall> calls = new HashMap<>();

    private CallTable() {}

    /** Returns an empty table. */
    public static CallTable create() {
        return new CallTable();
    }

    /** Adds a call; returns false if a call with the same id is open. */
    boolean add(OpenCall call) {
        return lock.with(() -> calls.putIfAbsent(call.id(), call) == null);
    }

    /** Removes exactly this call; returns whether it was present. */
    boolean remove(OpenCall call) {
        return lock.with(() -> calls.remove(call.id(), call));
    }

    /** Returns the open call with the given id. */
    Optional<OpenCall> find(CallId id) {
        return Optional.ofNullable(lock.with(() -> calls.get(id)));
    }

    /** Returns the open call if it is exactly this attempt. */
    Optional<OpenCall> find(Message.CallAttempt attempt) {
        return find(attempt.callId()).filter(call -> call.attempt().number() == attempt.number());
    }

    /** Returns the open calls whose current connection is the given one. */
    List<OpenCall> findByConnection(WireConnection connection) {
        return openCalls().stream()
                .filter(call -> call.usesConnection(connection))
                .toList();
    }

    /** Returns all open calls. */
    List<OpenCall> openCalls() {
        return lock.with(() -> List.copyOf(calls.values()));
    }

    /** Returns the number of open calls. */
    public int size() {
        return lock.with(calls::size);
    }

    /**
     * Completes with true once no call is open, or with false if {@code grace} passes first, which is recorded;
     * {@code guard} is that of the drain.
     */
    public CompletableFuture<Boolean> whenEmpty(Vertx vertx, Duration grace, EventLog events, LoopGuard guard) {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        long deadlineNanos = System.nanoTime() + grace.toNanos();
        guard.begin();
        pollUntilEmpty(vertx, deadlineNanos, events, guard, result);
        return result;
    }

    private void pollUntilEmpty(
            Vertx vertx, long deadlineNanos, EventLog events, LoopGuard guard, CompletableFuture<Boolean> result) {
        boolean empty = size() == 0;
        if (empty || System.nanoTime() - deadlineNanos >= 0) {
            if (!empty) {
                guard.run(() -> events.record(EventCode.DRAIN_DEADLINE, Map.of("open", size())));
            }
            guard.rest();
            result.complete(empty);
        } else {
            guard.markProgress();
            Runnable next = () -> vertx.setTimer(
                    DRAIN_POLL_INTERVAL_MILLIS, tick -> pollUntilEmpty(vertx, deadlineNanos, events, guard, result));
            guard.run(next, next);
        }
    }
}
