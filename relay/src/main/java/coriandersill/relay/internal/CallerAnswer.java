package coriandersill.relay.internal;

import coriandersill.core.BodyMemory;
import coriandersill.core.CallFailure;
import coriandersill.events.EventCode;
import coriandersill.relay.ResponseHead;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Map;

/**
 * Answers the caller of one call with a whole response or a failure, and records the answer.
 *
 * <p>Confined to the Vert.x context of the call.
 */
final class CallerAnswer {
    /** How long after the deadline of its call a response may occupy memory that its caller has not read. */
    private static final Duration UNREAD_RESPONSE_TIME = Duration.ofSeconds(1);

    private final RelayComponents components;
    private final CallPlan plan;
    private final CallerConnection caller;
    private final CallTrace trace;
    private final CallDeadline deadline;

    CallerAnswer(
            RelayComponents components,
            CallPlan plan,
            CallerConnection caller,
            CallTrace trace,
            CallDeadline deadline) {
        this.components = components;
        this.plan = plan;
        this.caller = caller;
        this.trace = trace;
        this.deadline = deadline;
    }

    /** Sends a complete upstream response to the caller. */
    void send(ResponseHead head, Buffer body) {
        caller.sendResponse(head, body, accountUntilWritten(body));
        trace.record(EventCode.CALL_ANSWERED, deadline.elapsedMillis(), Map.of("status", head.status()));
    }

    /**
     * Sends a failure to the caller, or cuts its connection if a response has begun.
     *
     * @param deliveredEvents the number of events that were sent to the caller, for the trace
     */
    void fail(CallFailure failure, long deliveredEvents) {
        components.metrics().countFailure(failure.kind());
        trace.record(
                EventCode.CALL_FAILED,
                deadline.elapsedMillis(),
                Map.of(
                        "failure", failure.kind(),
                        "ran", failure.ran(),
                        "detail", String.valueOf(failure.getMessage()),
                        "connection_cut", caller.hasBegun(),
                        "events", deliveredEvents,
                        "catalog", plan.catalogVersion()));
        caller.fail(failure, deadline.timeLeft());
    }

    /**
     * Accounts for the memory of a response until its caller has read it, for which the caller has the time that the
     * call had left, and {@link #UNREAD_RESPONSE_TIME}; then its connection is closed.
     *
     * @return the action that ends both
     */
    private Runnable accountUntilWritten(Buffer body) {
        int accountedBytes = BodyMemory.accountedBytes(body.length());
        if (accountedBytes == 0) {
            return () -> {};
        }
        components.bodyMemory().acquire(accountedBytes);
        long timeMillis = deadline.timeLeft().plus(UNREAD_RESPONSE_TIME).toMillis();
        long timer = components.vertx().setTimer(timeMillis, expired -> caller.abandon());
        return () -> {
            components.vertx().cancelTimer(timer);
            components.bodyMemory().release(accountedBytes);
        };
    }
}
