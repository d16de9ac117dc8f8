package coriandersill.events;

import coriandersill.core.CallFailure;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;

/**
 * Runs the steps of one call: its callbacks, timers and results of pool tasks. An error that a step throws is recorded
 * and fails the call, so that its caller is answered at once and nothing that the call holds is kept.
 *
 * <pre>{@code
 * CallGuard guard = new CallGuard(events, callId, this::fail, this::release);
 * vertx.setTimer(100, timer -> guard.run(this::retry));
 * }</pre>
 *
 * <p>Has no state of its own; its steps may run on any thread on which the call's may.
 */
public final class CallGuard {
    private final EventLog events;
    private final String callId;
    private final Consumer<CallFailure> onError;
    private final Runnable onSecondError;

    /**
     * Creates the guard of the call {@code callId}.
     *
     * @param onError fails the call
     * @param onSecondError releases what the call holds if {@code onError} throws an error too
     */
    public CallGuard(EventLog events, String callId, Consumer<CallFailure> onError, Runnable onSecondError) {
        this.events = Objects.requireNonNull(events, "events");
        this.callId = Objects.requireNonNull(callId, "callId");
        this.onError = Objects.requireNonNull(onError, "onError");
        this.onSecondError = Objects.requireNonNull(onSecondError, "onSecondError");
    }

    /** Runs {@code step}; throws only what the event log or {@code onSecondError} throws, after the call has failed. */
    public void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error error) {
            try {
                record(error);
            } finally {
                failAfter(error);
            }
        }
    }

    private void failAfter(Throwable error) {
        try {
            onError.accept(CallFailure.from(error));
        } catch (RuntimeException | Error second) {
            try {
                record(second);
            } finally {
                onSecondError.run();
            }
        }
    }

    private void record(Throwable error) {
        StackTraceElement[] stack = error.getStackTrace();
        events.record(
                EventCode.CALL_STEP_FAILED,
                Map.of("call", callId, "error", error.toString(), "at", stack.length == 0 ? "" : stack[0].toString()));
    }
}
