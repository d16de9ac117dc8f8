package coriandersill.relay.internal;

import coriandersill.relay.EngineProcessState;
import coriandersill.relay.ProcessCheck;
import coriandersill.responses.BodyEnd;
import coriandersill.responses.ProcessEvidence;
import coriandersill.upstreams.Upstream;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * The question of a call whether the process of an upstream still runs.
 *
 * <p>An upstream that leaves is asked after {@link BodyEnd#SHUTDOWN_TIME}. An engine must send its report, since an
 * open connection shows only that something listens at its address: one that wants no request, or is too busy to answer
 * in time, is asked again for a while. Confined to the Vert.x context of its call.
 */
final class ProcessQuestion {
    /** The delay before another try if an upstream does not answer or wants no request. */
    private static final long RETRY_DELAY_MILLIS = 100;

    /** The time after which a question is not repeated any more; the caller waits for the end of its response. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(2);

    /** The part of the time left to the call that the repetitions take at most, so that it may still be retried. */
    private static final int TIME_LEFT_DIVISOR = 4;

    private final AbstractCall call;
    private final RelayComponents components;
    private final Upstream upstream;
    private final Consumer<ProcessEvidence> onAnswer;
    private final long beganAtNanos;
    private final Duration maxWait;

    /**
     * Creates the question.
     *
     * @param onAnswer receives the answer unless the call has ended
     */
    ProcessQuestion(AbstractCall call, Upstream upstream, Consumer<ProcessEvidence> onAnswer) {
        this.call = call;
        this.components = call.components;
        this.upstream = upstream;
        this.onAnswer = onAnswer;
        this.beganAtNanos = components.clock().nanos();
        Duration share = call.deadline.timeLeft().dividedBy(TIME_LEFT_DIVISOR);
        this.maxWait = share.compareTo(MAX_WAIT) < 0 ? share : MAX_WAIT;
    }

    void ask() {
        if (components.upstreams().isLeavingOrUnknown(upstream.instance())) {
            call.steps.runLater(BodyEnd.SHUTDOWN_TIME.toMillis(), this::askUnlessQuiet);
        } else {
            askUnlessQuiet();
        }
    }

    private void askUnlessQuiet() {
        if (isQuietEngine()) {
            askLater();
            return;
        }
        components
                .engineControl()
                .processState(upstream, check())
                .whenComplete((state, error) -> call.steps.runOnContext(() -> handleState(state)));
    }

    /** Handles a state; null if the question failed. */
    private void handleState(EngineProcessState state) {
        if (state == EngineProcessState.RUNNING) {
            onAnswer.accept(ProcessEvidence.RUNNING);
        } else if (state != EngineProcessState.ENDED && isEngine()) {
            askLater();
        } else {
            onAnswer.accept(ProcessEvidence.NOT_KNOWN_TO_RUN);
        }
    }

    private void askLater() {
        Duration waited = Duration.ofNanos(components.clock().nanos() - beganAtNanos);
        if (waited.compareTo(maxWait) < 0) {
            call.steps.runLater(RETRY_DELAY_MILLIS, this::askUnlessQuiet);
        } else {
            onAnswer.accept(ProcessEvidence.NOT_KNOWN_TO_RUN);
        }
    }

    private boolean isQuietEngine() {
        return isEngine() && components.upstreams().isQuiet(upstream.instance());
    }

    private boolean isEngine() {
        return call.plan.service().engine().isPresent();
    }

    private ProcessCheck check() {
        if (isEngine()) {
            return ProcessCheck.REPORT;
        }
        boolean quiet = components.upstreams().isQuiet(upstream.instance());
        return quiet ? ProcessCheck.CONNECTION : ProcessCheck.OPTIONAL_REPORT;
    }
}
