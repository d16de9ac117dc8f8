package coriandersill.sidecar.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.CallId;
import coriandersill.events.CallGuard;
import coriandersill.events.EventLog;
import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** One call from its dispatch to its end; thread-safe. */
final class OpenCall {
    /** The state of a call. */
    enum State {
        /** Waiting for admission. */
        WAITING,
        /** Sent to the upstream. */
        RUNNING,
        /** Succeeded, failed, refused or cancelled. */
        ENDED
    }

    private final Message.Dispatch dispatch;
    private final long receivedNanos;
    private final CallGuard guard;
    private final AtomicReference<State> state = new AtomicReference<>(State.WAITING);
    private final AtomicInteger unreportedTokens = new AtomicInteger();
    private volatile WireConnection connection;
    private volatile UpstreamCall upstreamCall;

    OpenCall(
            Message.Dispatch dispatch,
            WireConnection connection,
            long receivedNanos,
            EventLog events,
            ErrorListener errorListener) {
        this.dispatch = dispatch;
        this.connection = connection;
        this.receivedNanos = receivedNanos;
        this.guard = new CallGuard(
                events,
                id().toString(),
                failure -> errorListener.onError(this, failure),
                () -> errorListener.onSecondError(this));
    }

    /** Ends a call in which a step threw an error. */
    interface ErrorListener {
        /** Called with the failure that the error amounts to. */
        void onError(OpenCall call, CallFailure failure);

        /** Called if {@link #onError} threw an error too. */
        void onSecondError(OpenCall call);
    }

    /** Returns the guard in which each step of the call runs. */
    CallGuard guard() {
        return guard;
    }

    CallId id() {
        return dispatch.attempt().callId();
    }

    Message.CallAttempt attempt() {
        return dispatch.attempt();
    }

    Message.Dispatch dispatch() {
        return dispatch;
    }

    long receivedNanos() {
        return receivedNanos;
    }

    State state() {
        return state.get();
    }

    boolean usesConnection(WireConnection value) {
        return connection.equals(value);
    }

    boolean send(Message message) {
        return connection.send(message);
    }

    /** Replaces the connection by another one to the same entry. */
    void setConnection(WireConnection value) {
        connection = value;
    }

    WireConnection connection() {
        return connection;
    }

    /** Changes the state from waiting to running; returns false if the call was not waiting. */
    boolean markRunning() {
        return state.compareAndSet(State.WAITING, State.RUNNING);
    }

    /** Marks the call ended; returns its previous state, or an empty optional if it had already ended. */
    Optional<State> markEnded() {
        State previous = state.getAndSet(State.ENDED);
        return previous == State.ENDED ? Optional.empty() : Optional.of(previous);
    }

    void setUpstreamCall(UpstreamCall value) {
        upstreamCall = value;
    }

    Optional<UpstreamCall> upstreamCall() {
        return Optional.ofNullable(upstreamCall);
    }

    void countUnreportedToken() {
        unreportedTokens.incrementAndGet();
    }

    /** Returns the number of tokens counted since the previous invocation and resets the count. */
    int takeUnreportedTokens() {
        return unreportedTokens.getAndSet(0);
    }
}
