package coriandersill.sidecar.internal;

import coriandersill.core.CallId;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The open calls of one sidecar, by identity; guarded by a lock of rank {@link LockRank#STREAMS}. */
public final class CallTable {
    private static final long DRAIN_POLL_MILLIS = 20;

    private final RankedLock lock = RankedLock.of(LockRank.STREAMS);
    private final Map<CallId, OpenCall> calls = new HashMap<>();

    private CallTable() {}

    /** Returns an empty table. */
    public static CallTable create() {
        return new CallTable();
    }

    /** Adds a call; returns false when one with the same identity is open. */
    boolean add(OpenCall call) {
        return lock.with(() -> calls.putIfAbsent(call.id(), call) == null);
    }

    /** Removes exactly this call; returns whether it was there. */
    boolean remove(OpenCall call) {
        return lock.with(() -> calls.remove(call.id(), call));
    }

    /** Finds the open call of an identity. */
    Optional<OpenCall> find(CallId id) {
        return Optional.ofNullable(lock.with(() -> calls.get(id)));
    }

    /** Finds the open call of exactly this attempt. */
    Optional<OpenCall> find(Message.CallAttempt attempt) {
        return find(attempt.id()).filter(call -> call.attempt().attempt() == attempt.attempt());
    }

    /** Returns the calls that came over a connection. */
    List<OpenCall> of(WireConnection connection) {
        return all().stream().filter(call -> call.cameOver(connection)).toList();
    }

    /** Returns all open calls. */
    List<OpenCall> all() {
        return lock.with(() -> List.copyOf(calls.values()));
    }

    /** How many calls are open. */
    public int size() {
        return lock.with(calls::size);
    }

    /** Completes with true once no call is open, or with false when {@code grace} has passed before. */
    public CompletableFuture<Boolean> whenEmpty(Vertx vertx, Duration grace) {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        long deadline = System.nanoTime() + grace.toNanos();
        poll(vertx, deadline, result);
        return result;
    }

    private void poll(Vertx vertx, long deadline, CompletableFuture<Boolean> result) {
        if (size() == 0) {
            result.complete(true);
        } else if (System.nanoTime() - deadline >= 0) {
            result.complete(false);
        } else {
            vertx.setTimer(DRAIN_POLL_MILLIS, tick -> poll(vertx, deadline, result));
        }
    }
}
