package coriandersill.sidecar.internal;

import coriandersill.core.CallId;
import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** One call from its dispatch to its end; safe for use by many threads. */
final class OpenCall {
    /** Where a call stands. */
    enum State {
        /** It waits for room. */
        WAITING,
        /** It is at the upstream. */
        RUNNING,
        /** It has ended and was answered. */
        ENDED
    }

    private final Message.Dispatch dispatch;
    private final long receivedNanos;
    private final AtomicReference<State> stage = new AtomicReference<>(State.WAITING);
    private final AtomicInteger newTokens = new AtomicInteger();
    private volatile WireConnection connection;
    private volatile UpstreamCall run;

    OpenCall(Message.Dispatch dispatch, WireConnection connection, long receivedNanos) {
        this.dispatch = dispatch;
        this.connection = connection;
        this.receivedNanos = receivedNanos;
    }

    CallId id() {
        return dispatch.call().id();
    }

    Message.CallAttempt attempt() {
        return dispatch.call();
    }

    Message.Dispatch dispatch() {
        return dispatch;
    }

    long receivedNanos() {
        return receivedNanos;
    }

    State stage() {
        return stage.get();
    }

    boolean cameOver(WireConnection other) {
        return connection.equals(other);
    }

    boolean send(Message message) {
        return connection.send(message);
    }

    /** Moves on to another connection of the same entry. */
    void moveTo(WireConnection other) {
        connection = other;
    }

    WireConnection connection() {
        return connection;
    }

    /** Goes from waiting to running; returns false when the call has ended. */
    boolean begin() {
        return stage.compareAndSet(State.WAITING, State.RUNNING);
    }

    /** Ends the call; returns the stage it was in, or nothing when it had ended before. */
    Optional<State> end() {
        State before = stage.getAndSet(State.ENDED);
        return before == State.ENDED ? Optional.empty() : Optional.of(before);
    }

    void running(UpstreamCall other) {
        run = other;
    }

    Optional<UpstreamCall> run() {
        return Optional.ofNullable(run);
    }

    void countToken() {
        newTokens.incrementAndGet();
    }

    /** Takes the tokens counted since the last time. */
    int takeNewTokens() {
        return newTokens.getAndSet(0);
    }
}
