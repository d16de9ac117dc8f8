package coriandersill.rollout;

import coriandersill.core.ServiceName;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Derives the states of all rollouts from the records of the log, in order of offset.
 *
 * <pre>{@code
 * RolloutFold fold = RolloutFold.empty();
 * RolloutFold.Outcome outcome = fold.apply(offset, time, transition);
 * Optional<RolloutState> state = fold.state(service);
 * }</pre>
 *
 * <p>Every process that applies the same records reaches the same states. Forward steps need a fencing token that is
 * not older than the highest seen for the rollout, and never go back a phase or lower the share. A rollback is taken
 * from any process in any phase. The first verdict by offset stands; nothing follows it. A service has one rollout at a
 * time: a later declaration is refused until the earlier one has its verdict, and records of an earlier one are refused
 * once a later one has begun.
 *
 * <p>Not safe for use by many threads; the owner guards it.
 */
public final class RolloutStateMachine {
    private final Map<ServiceName, RolloutState> states = new HashMap<>();
    private final Map<ServiceName, RolloutState> previous = new HashMap<>();

    /** What became of a record. */
    public enum Outcome {
        /** It changed the state. */
        APPLIED,
        /** It was read before, or says what the state is already. */
        DUPLICATE,
        /** Its fencing token is older than one already seen. */
        FENCED,
        /** The rollout has its verdict. */
        ALREADY_DECIDED,
        /** Another rollout of the service is under way, or a later one has begun. */
        CONFLICTING_ROLLOUT,
        /** The phase or the share does not follow from the state. */
        INVALID_TRANSITION
    }

    private RolloutStateMachine() {}

    /** Returns a fold that has read nothing. */
    public static RolloutStateMachine empty() {
        return new RolloutStateMachine();
    }

    /** Takes the record at {@code offset}, which the log took at {@code time}, and says what became of it. */
    public Outcome apply(long offset, Instant time, RolloutTransition transition) {
        RolloutState current = states.get(transition.id().service());
        Outcome outcome = outcome(current, offset, transition);
        if (outcome == Outcome.APPLIED) {
            put(current, offset, time, transition);
        } else if (current != null && offset > current.offset()) {
            noteToken(current, transition);
        }
        return outcome;
    }

    /** Notes that the log's offsets have begun anew; the states stay, and later records are taken again. */
    public void resetOffsets() {
        states.replaceAll((service, state) -> new RolloutState(
                state.id(),
                state.phase(),
                state.share(),
                state.fencingToken(),
                -1,
                state.since(),
                state.phaseSince(),
                state.evidence()));
    }

    /** Returns the state of the newest rollout of a service. */
    public Optional<RolloutState> state(ServiceName service) {
        return Optional.ofNullable(states.get(service));
    }

    /** Returns the state of a rollout that is the newest of its service or the one before. */
    public Optional<RolloutState> state(RolloutId id) {
        RolloutState current = states.get(id.service());
        if (current != null && current.id().equals(id)) {
            return Optional.of(current);
        }
        return Optional.ofNullable(previous.get(id.service()))
                .filter(state -> state.id().equals(id));
    }

    /** Returns the newest state of each service. */
    public Map<ServiceName, RolloutState> states() {
        return Map.copyOf(states);
    }

    private static Outcome outcome(RolloutState current, long offset, RolloutTransition transition) {
        if (current == null) {
            return first(transition);
        }
        if (offset <= current.offset()) {
            return Outcome.DUPLICATE;
        }
        if (!current.id().equals(transition.id())) {
            return other(current, transition);
        }
        if (current.phase().isTerminal()) {
            return transition.phase() == current.phase() ? Outcome.DUPLICATE : Outcome.ALREADY_DECIDED;
        }
        if (transition.phase() == RolloutPhase.ROLLED_BACK) {
            return Outcome.APPLIED;
        }
        return forward(current, transition);
    }

    private static Outcome first(RolloutTransition transition) {
        boolean starts = transition.phase() == RolloutPhase.DECLARED || transition.phase() == RolloutPhase.ROLLED_BACK;
        return starts ? Outcome.APPLIED : Outcome.INVALID_TRANSITION;
    }

    private static Outcome other(RolloutState current, RolloutTransition transition) {
        if (transition.id().declaredAt() < current.id().declaredAt()
                || !current.phase().isTerminal()) {
            return Outcome.CONFLICTING_ROLLOUT;
        }
        return first(transition);
    }

    private static Outcome forward(RolloutState current, RolloutTransition transition) {
        if (transition.fencingToken() < current.fencingToken()) {
            return Outcome.FENCED;
        }
        int step = transition.phase().compareTo(current.phase());
        if (step == 0 && transition.share() == current.share()) {
            return Outcome.DUPLICATE;
        }
        boolean watched = transition.phase() != RolloutPhase.DONE || current.phase() == RolloutPhase.PROBATION;
        return step >= 0 && transition.share() >= current.share() && watched
                ? Outcome.APPLIED
                : Outcome.INVALID_TRANSITION;
    }

    /** Remembers a newer holder by whatever it says, so that the older one is fenced from then on. */
    private void noteToken(RolloutState current, RolloutTransition transition) {
        if (current.id().equals(transition.id()) && transition.fencingToken() > current.fencingToken()) {
            states.put(
                    current.id().service(),
                    new RolloutState(
                            current.id(),
                            current.phase(),
                            current.share(),
                            transition.fencingToken(),
                            current.offset(),
                            current.since(),
                            current.phaseSince(),
                            current.evidence()));
        }
    }

    private void put(RolloutState current, long offset, Instant time, RolloutTransition transition) {
        boolean same = current != null && current.id().equals(transition.id());
        if (current != null && !same) {
            previous.put(current.id().service(), current);
        }
        boolean samePhase = same && current.phase() == transition.phase();
        RolloutState next = new RolloutState(
                transition.id(),
                transition.phase(),
                transition.share(),
                Math.max(transition.fencingToken(), same ? current.fencingToken() : 0),
                offset,
                time,
                samePhase ? current.phaseSince() : time,
                transition.evidence());
        states.put(transition.id().service(), next);
    }
}
