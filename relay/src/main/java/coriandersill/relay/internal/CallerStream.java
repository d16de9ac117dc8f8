package coriandersill.relay.internal;

import coriandersill.events.EventCode;
import coriandersill.relay.ResponseHead;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * The event stream to the caller of one generation: forwards events when they are complete, each once and in order, and
 * knows how far the caller is.
 *
 * <p>Confined to the Vert.x context of the call, unless stated otherwise.
 */
final class CallerStream {
    private final GenerationCall call;
    private ResponseHead pendingHead;
    private boolean headSent;
    private long lastEventId;
    private long eventCount;

    /** Read by planners of moves on other threads. */
    private volatile Duration timeToFirstEvent;

    CallerStream(GenerationCall call) {
        this.call = call;
        this.lastEventId = call.plan.request().lastEventId();
    }

    /** Returns the id of the last event that the caller has. */
    long lastEventId() {
        return lastEventId;
    }

    /** Returns the number of events that were sent to the caller. */
    long eventCount() {
        return eventCount;
    }

    /** Returns whether the head of the response was sent to the caller. */
    boolean isHeadSent() {
        return headSent;
    }

    /** Returns the time from the call's arrival to its first event, empty without one; may be called on any thread. */
    Optional<Duration> timeToFirstEvent() {
        return Optional.ofNullable(timeToFirstEvent);
    }

    /** Sets the head that is sent with the first event, unless one was sent. */
    void setHead(ResponseHead head) {
        if (!headSent) {
            pendingHead = head;
        }
    }

    /** Forwards an event unless the caller has it. */
    void forward(EventSplitter.Event event) {
        if (event.id() != EventSplitter.NO_ID) {
            if (event.id() <= lastEventId) {
                return;
            }
            lastEventId = event.id();
        }
        eventCount++;
        if (!headSent) {
            sendHead();
            recordFirstEvent();
        }
        write(event.bytes());
    }

    /** Forwards comments or empty lines, unless no event has been sent: they begin no response. */
    void forwardComment(EventSplitter.Event comment) {
        if (headSent) {
            write(comment.bytes());
        }
    }

    /** Ends the stream after the comments and line ends behind the last event. */
    void end(Buffer remainder) {
        if (!headSent) {
            sendHead();
        }
        if (remainder.length() > 0) {
            call.caller.write(remainder);
        }
        call.caller.end();
    }

    private void sendHead() {
        headSent = true;
        call.caller.startStream(pendingHead);
    }

    private void recordFirstEvent() {
        Duration elapsed = Duration.ofNanos(call.deadline.elapsedNanos());
        timeToFirstEvent = elapsed;
        call.components.metrics().recordFirstEvent(elapsed.toNanos());
        UpstreamSelector.Selection engine = call.selection;
        call.trace.record(
                EventCode.CALL_FIRST_EVENT,
                call.deadline.elapsedMillis(),
                Map.of(
                        "upstream", engine.upstream().instance(),
                        "run",
                                call.runs()
                                        .latestAt(engine.upstream().instance())
                                        .number(),
                        "framing", pendingHead.framing()));
    }

    private void write(Buffer bytes) {
        if (!call.caller.write(bytes) && call.exchange != null) {
            UpstreamExchange paused = call.exchange;
            paused.setPaused(true);
            call.caller.onDrained(() -> call.steps.run(() -> paused.setPaused(false)));
        }
    }
}
