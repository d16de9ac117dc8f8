package coriandersill.rollout;

import coriandersill.core.ServiceName;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Derives the states of all rollouts from the records of the log, applied in order of offset.
 *
 * <pre>{@code
 * RolloutStateMachine stateMachine = RolloutStateMachine.empty();
 * RolloutStateMachine.Outcome outcome = stateMachine.apply(offset, time, transition);
 * Optional<RolloutState> state = stateMachine.state(service);
 * }</pre>
 *
 * <p>Every process that applies the same records reaches the same states. A forward step requires a fencing token that
 * is not older than the highest one seen for the rollout, and never returns to an earlier phase or lowers the share. A
 * rollback is accepted from any process in any phase. The final state with the lowest offset stands and no transition
 * follows it. A service has one rollout at a time: a later declaration is rejected until the earlier rollout is
 * decided, and records of an earlier rollout are rejected once a later one has started.
 *
 * <p>Not thread-safe; callers synchronize access.
 */
public final class RolloutStateMachine {
    private final Map<ServiceName, RolloutState> states = new HashMap<>();
    private final Map<ServiceName, RolloutState> previousStates = new HashMap<>();

    /** The outcome of applying a record. */
    public enum Outcome {
        /** The record changed the state. */
        APPLIED,
        /** The record was already applied, or repeats the current state. */
        DUPLICATE,
        /** The fencing token is older than one already seen. */
        FENCED,
        /** The rollout is already in a final state, and the record would change it. */
        ALREADY_DECIDED,
        /** Another rollout of the service is in progress, or a later one has started. */
        CONFLICTING_ROLLOUT,
        /** The phase or share is not a valid successor of the current state. */
        INVALID_TRANSITION
    }

    private RolloutStateMachine() {}

    /** Returns a state machine to which no record has been applied. */
    public static RolloutStateMachine empty() {
        return new RolloutStateMachine();
    }

    /** Applies the record at {@code offset}, which the log accepted at {@code time}, and returns the outcome. */
    public Outcome apply(long offset, Instant time, RolloutTransition transition) {
        RolloutState current = states.get(transition.id().service());
        Outcome outcome = evaluate(current, offset, transition);
        if (outcome == Outcome.APPLIED) {
            store(current, offset, time, transition);
        } else if (current != null && offset > current.offset()) {
            raiseFencingToken(current, transition);
        }
        return outcome;
    }

    /** Accepts all offsets again, after those of the log have restarted; the states are kept. */
    public void resetOffsets() {
        states.replaceAll((service, state) -> new RolloutState(
                state.id(),
                state.phase(),
                state.share(),
                state.fencingToken(),
                -1,
                state.recordedAt(),
                state.phaseSince(),
                state.reason()));
    }

    /** Returns the state of the newest rollout of a service. */
    public Optional<RolloutState> state(ServiceName service) {
        return Optional.ofNullable(states.get(service));
    }

    /** Returns the state of a rollout if it is the newest of its service or the one before that. */
    public Optional<RolloutState> state(RolloutId id) {
        RolloutState current = states.get(id.service());
        if (current != null && current.id().equals(id)) {
            return Optional.of(current);
        }
        return Optional.ofNullable(previousStates.get(id.service()))
                .filter(state -> state.id().equals(id));
    }

    /** Returns the state of the newest rollout of each service. */
    public Map<ServiceName, RolloutState> states() {
        return Map.copyOf(states);
    }

    /** Returns the outcome that applying a transition would have, without applying it. */
    private static Outcome evaluate(RolloutState current, long offset, RolloutTransition transition) {
        if (current == null) {
            return evaluateFirst(transition);
        }
        if (offset <= current.offset()) {
            return Outcome.DUPLICATE;
        }
        if (!current.id().equals(transition.id())) {
            return evaluateOtherRollout(current, transition);
        }
        if (current.phase().isTerminal()) {
            return transition.phase() == current.phase() ? Outcome.DUPLICATE : Outcome.ALREADY_DECIDED;
        }
        if (transition.phase() == RolloutPhase.ROLLED_BACK) {
            return Outcome.APPLIED;
        }
        return evaluateForwardStep(current, transition);
    }

    /** Evaluates the first record of a rollout, which may be a rollback, since a rollback needs no earlier record. */
    private static Outcome evaluateFirst(RolloutTransition transition) {
        boolean isInitialPhase =
                transition.phase() == RolloutPhase.DECLARED || transition.phase() == RolloutPhase.ROLLED_BACK;
        return isInitialPhase ? Outcome.APPLIED : Outcome.INVALID_TRANSITION;
    }

    private static Outcome evaluateOtherRollout(RolloutState current, RolloutTransition transition) {
        if (transition.id().declarationPosition() < current.id().declarationPosition()
                || !current.phase().isTerminal()) {
            return Outcome.CONFLICTING_ROLLOUT;
        }
        return evaluateFirst(transition);
    }

    private static Outcome evaluateForwardStep(RolloutState current, RolloutTransition transition) {
        if (transition.fencingToken() < current.fencingToken()) {
            return Outcome.FENCED;
        }
        int phaseOrder = transition.phase().compareTo(current.phase());
        if (phaseOrder == 0 && transition.share() == current.share()) {
            return Outcome.DUPLICATE;
        }
        boolean probationPassed = transition.phase() != RolloutPhase.DONE || current.phase() == RolloutPhase.PROBATION;
        return phaseOrder >= 0 && transition.share() >= current.share() && probationPassed
                ? Outcome.APPLIED
                : Outcome.INVALID_TRANSITION;
    }

    /**
     * Records the token of a newer lease holder even if its record is not applied, so that older holders are fenced.
     */
    private void raiseFencingToken(RolloutState current, RolloutTransition transition) {
        if (current.id().equals(transition.id()) && transition.fencingToken() > current.fencingToken()) {
            states.put(
                    current.id().service(),
                    new RolloutState(
                            current.id(),
                            current.phase(),
                            current.share(),
                            transition.fencingToken(),
                            current.offset(),
                            current.recordedAt(),
                            current.phaseSince(),
                            current.reason()));
        }
    }

    private void store(RolloutState current, long offset, Instant time, RolloutTransition transition) {
        boolean sameRollout = current != null && current.id().equals(transition.id());
        if (current != null && !sameRollout) {
            previousStates.put(current.id().service(), current);
        }
        boolean samePhase = sameRollout && current.phase() == transition.phase();
        RolloutState next = new RolloutState(
                transition.id(),
                transition.phase(),
                transition.share(),
                Math.max(transition.fencingToken(), sameRollout ? current.fencingToken() : 0),
                offset,
                time,
                samePhase ? current.phaseSince() : time,
                transition.reason());
        states.put(transition.id().service(), next);
    }
}
