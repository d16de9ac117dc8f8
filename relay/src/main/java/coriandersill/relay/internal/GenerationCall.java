package coriandersill.relay.internal;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import coriandersill.events.EventCode;
import coriandersill.relay.KvCacheCopy;
import coriandersill.relay.ResponseHead;
import coriandersill.routing.CallResult;
import coriandersill.upstreams.Upstream;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * A call that is answered by a stream of events from one generation.
 *
 * <p>Only whole events go to the caller, each once and in order. Where the generation moves to another engine, the
 * stream goes on there at the next event.
 */
final class GenerationCall extends AbstractCall {
    /** How long a continuation may take to begin before it counts as failed. */
    private static final long CONTINUATION_MILLIS = 2_000;

    /** How long after a move that failed the next one begins, while the engine is still there. */
    private static final long NEXT_MOVE_MILLIS = 150;

    /** How long a next move has at most: most of the engine's notice is over. */
    private static final Duration NEXT_MOVE_TIME = Duration.ofMillis(500);

    /** How long a move has for a run that began while its engine was leaving already. */
    private static final Duration LATE_MOVE_TIME = Duration.ofSeconds(1);

    private final Context context;
    private ResponseHead pendingHead;
    private boolean headSent;
    private long lastEvent;
    private long events;
    private GenerationMove move;
    private boolean rescued;
    private Runnable afterStop;

    GenerationCall(
            RelayComponents parts, CallPlan plan, Buffer body, CallerConnection caller, CallTrace trace, long arrived) {
        super(parts, plan, body, caller, trace, arrived);
        this.context = parts.vertx().getOrCreateContext();
        this.lastEvent = plan.request().lastEventId();
    }

    @Override
    UpstreamExchange.Listener listener(UpstreamSelector.Selection target) {
        return new StreamAnswer(target, null);
    }

    @Override
    long lastEventId() {
        return lastEvent;
    }

    @Override
    long deliveredAndLost() {
        return plan.route().resumable() ? 0 : events;
    }

    @Override
    void release() {
        if (chosen != null) {
            parts.generations().remove(chosen.upstream().instance(), this);
        }
        if (move != null) {
            move.cancel();
            move = null;
        }
    }

    /**
     * Hears from any thread that its engine leaves, and that it moves after {@code startIn}.
     *
     * @param timeLeft how long the move may take
     * @param aim what the choice of a target goes by
     */
    void moveOff(Upstream engine, Duration startIn, Duration timeLeft, TargetCriteria aim) {
        context.runOnContext(ignored -> {
            if (startIn.toMillis() <= 0) {
                moveIfAt(engine, timeLeft, aim);
            } else {
                parts.vertx().setTimer(startIn.toMillis(), timer -> moveIfAt(engine, timeLeft, aim));
            }
        });
    }

    private void moveIfAt(Upstream engine, Duration timeLeft, TargetCriteria aim) {
        if (chosen.upstream().instance().equals(engine.instance())) {
            startMove(timeLeft, aim);
        }
    }

    private void startMove(Duration timeLeft, TargetCriteria aim) {
        if (!over() && move == null && exchange != null && worthMoving()) {
            move = new GenerationMove(this, chosen, timeLeft, aim);
            move.start();
        }
    }

    /** A short generation that may be resumed elsewhere ends, or starts again, sooner than it is moved. */
    boolean worthMoving() {
        return plan.service().engine().filter(engine -> engine.moves()).isPresent()
                && !plan.route().resumable();
    }

    /** Hears that the run has stopped and goes on at {@code target} from a copy. */
    void continueAt(UpstreamSelector.Selection target, KvCacheCopy copy) {
        if (exchange != null) {
            exchange.cancel();
        }
        parts.generations().remove(chosen.upstream().instance(), this);
        finishAttempt(chosen, CallResult.ok(0, 0, 0));
        chosen = target;
        StreamAnswer answer = new StreamAnswer(target, copy);
        exchange = UpstreamExchange.start(
                parts.client(), parts.codec(), call(target, lastEvent, Optional.of(copy)), body, answer);
        parts.vertx().setTimer(CONTINUATION_MILLIS, timer -> answer.expectHead());
    }

    /** Hears that a move ended without one: the run goes on where it is, or has ended there. */
    void moveEnded() {
        move = null;
        Runnable pending = afterStop;
        afterStop = null;
        if (pending != null && !over()) {
            pending.run();
        } else if (!over() && parts.upstreams().leaving(chosen.upstream().instance())) {
            parts.vertx().setTimer(NEXT_MOVE_MILLIS, timer -> startMove(NEXT_MOVE_TIME, TargetCriteria.NEAR));
        }
    }

    private void forward(EventSplitter.Event event) {
        if (event.id() != EventSplitter.NO_ID) {
            if (event.id() <= lastEvent) {
                return;
            }
            lastEvent = event.id();
        }
        events++;
        if (!headSent) {
            headSent = true;
            caller.stream(pendingHead);
            parts.meters().firstEvent(elapsedNanos());
            trace.note(
                    EventCode.CALL_FIRST_EVENT,
                    elapsedMillis(),
                    Map.of("upstream", chosen.upstream().instance()));
        }
        write(event.bytes());
    }

    private void write(Buffer bytes) {
        if (!caller.write(bytes) && exchange != null) {
            UpstreamExchange held = exchange;
            held.pause(true);
            caller.onDrained(() -> held.pause(false));
        }
    }

    /** The stream broke: another run may go on with it, or its engine is asked whether it still runs. */
    private void broken(UpstreamSelector.Selection target, CallFailure failure) {
        if (!plan.route().resumable() && !rescued && events > 0 && worthMoving()) {
            rescued = true;
            afterStop = () -> broken(target, failure);
            move = new GenerationMove(this, target, Duration.ZERO, TargetCriteria.NEAR);
            move.start();
            return;
        }
        parts.generations().remove(target.upstream().instance(), this);
        boolean lost = events > 0 && !plan.route().resumable();
        attemptFailed(target, lost ? interrupted(failure) : failure);
    }

    private static CallFailure interrupted(CallFailure failure) {
        return CallFailure.of(ErrorKind.GENERATION_INTERRUPTED, failure.getMessage());
    }

    private final class StreamAnswer implements UpstreamExchange.Listener {
        private final UpstreamSelector.Selection target;
        private final KvCacheCopy copy;
        private final EventSplitter splitter = new EventSplitter();
        private final Buffer refusal = Buffer.buffer();
        private final long sentAt = parts.clock().nanos();
        private ResponseHead head;
        private CallFailure failure;
        private boolean progressed;

        private StreamAnswer(UpstreamSelector.Selection target, KvCacheCopy copy) {
            this.target = target;
            this.copy = copy;
        }

        @Override
        public boolean sending() {
            if (!mayBeSent(target)) {
                return false;
            }
            parts.generations().add(target.upstream().instance(), GenerationCall.this);
            return true;
        }

        @Override
        public void head(ResponseHead received) {
            head = received;
            parts.upstreams().reached(target.upstream().instance());
            failure = ResponseValidator.failure(plan, received);
            if (failure == null && !headSent) {
                pendingHead = received;
            }
        }

        @Override
        public void data(Buffer bytes) {
            if (failure != null) {
                refusal.appendBuffer(bytes);
                return;
            }
            for (EventSplitter.Event event : splitter.feed(bytes)) {
                if (!progressed) {
                    progressed = true;
                    started();
                }
                forward(event);
            }
        }

        private void started() {
            parts.workers().executeOrRun(() -> parts.choice().promptRead(target, plan));
            if (copy != null && move != null) {
                move.succeeded();
                move = null;
            }
            if (parts.upstreams().leaving(target.upstream().instance())) {
                startMove(LATE_MOVE_TIME, TargetCriteria.NEAR);
            }
        }

        /** Gives a continuation up that has not begun in time. */
        private void expectHead() {
            if (head == null && exchange != null && chosen.equals(target) && !over()) {
                exchange.cancel();
                failed(CallFailure.of(ErrorKind.OUTCOME_UNKNOWN, "the continuation did not begin")
                        .withRan(Ran.UNKNOWN));
            }
        }

        @Override
        public void ended() {
            if (failure != null) {
                refused();
            } else if (move != null && move.stopping() && !head.framed()) {
                exchange = null;
                afterStop = this::complete;
            } else {
                complete();
            }
        }

        private void complete() {
            exchange = null;
            if (events == 0 && splitter.rest().length() == 0) {
                attemptFailed(target, CallFailure.of(ErrorKind.OUTCOME_UNKNOWN, "the stream ended without an event"));
                return;
            }
            if (!headSent) {
                headSent = true;
                caller.stream(pendingHead);
            }
            if (splitter.rest().length() > 0) {
                caller.write(splitter.rest());
            }
            caller.end();
            long nanos = parts.clock().nanos() - sentAt;
            finishAttempt(target, CallResult.ok(nanos / Math.max(1, events), 0, events));
            trace.note(
                    EventCode.CALL_ANSWERED,
                    elapsedMillis(),
                    Map.of(
                            "status",
                            head.status(),
                            "events",
                            events,
                            "upstream",
                            target.upstream().instance()));
            finish(false);
        }

        private void refused() {
            exchange = null;
            parts.generations().remove(target.upstream().instance(), GenerationCall.this);
            if (copy != null && move != null) {
                move.continuationRefused(failure);
                return;
            }
            boolean passedOn = !headSent && ResponseValidator.mayBePassedOn(plan, head);
            attemptFailed(target, failure, passedOn ? head : null, refusal);
        }

        @Override
        public void failed(CallFailure broke) {
            exchange = null;
            CallFailure cause = broke.kind() == ErrorKind.UNAVAILABLE ? broke.withRan(Ran.NO) : broke;
            if (copy != null && !progressed && move != null && cause.ran() == Ran.NO) {
                move.continuationRefused(cause);
            } else if (move != null) {
                afterStop = () -> broken(target, cause);
                move.streamBroke();
            } else {
                broken(target, cause);
            }
        }
    }

    /** Whether any event has come. */
    boolean begun() {
        return events > 0;
    }

    /** The caller's identifier of the attempt. */
    String id() {
        return plan.request().id();
    }
}
