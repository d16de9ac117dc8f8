package coriandersill.rollout;

import static coriandersill.rollout.RolloutStateMachine.Outcome.ALREADY_DECIDED;
import static coriandersill.rollout.RolloutStateMachine.Outcome.APPLIED;
import static coriandersill.rollout.RolloutStateMachine.Outcome.CONFLICTING_ROLLOUT;
import static coriandersill.rollout.RolloutStateMachine.Outcome.DUPLICATE;
import static coriandersill.rollout.RolloutStateMachine.Outcome.FENCED;
import static coriandersill.rollout.RolloutStateMachine.Outcome.INVALID_TRANSITION;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against writes of an outdated lease holder that still take effect, a final state that changes, two rollouts of
 * a service at a time, and processes that derive different states from the same records.
 */
class RolloutStateMachineTest {
    private static final ServiceName SERVICE = ServiceName.of("scribe");
    private static final RolloutId FIRST = new RolloutId(SERVICE, 10);
    private static final RolloutId SECOND = new RolloutId(SERVICE, 20);

    private final RolloutStateMachine stateMachine = RolloutStateMachine.empty();
    private long offset;

    @Test
    void aRolloutPassesThroughItsPhasesToDone() {
        assertThat(apply(transition(FIRST, RolloutPhase.DECLARED, 0, 1)), is(APPLIED));
        assertThat(apply(transition(FIRST, RolloutPhase.LOADING, 0, 1)), is(APPLIED));
        assertThat(apply(transition(FIRST, RolloutPhase.CANARY, 0.01, 1)), is(APPLIED));
        assertThat(apply(transition(FIRST, RolloutPhase.RAMP, 0.3, 1)), is(APPLIED));
        assertThat(apply(transition(FIRST, RolloutPhase.RAMP, 0.2, 1)), is(INVALID_TRANSITION));
        assertThat(apply(transition(FIRST, RolloutPhase.CANARY, 0.3, 1)), is(INVALID_TRANSITION));
        assertThat(apply(transition(FIRST, RolloutPhase.DONE, 1, 1)), is(INVALID_TRANSITION));
        assertThat(apply(transition(FIRST, RolloutPhase.PROBATION, 0.9, 1)), is(APPLIED));
        assertThat(apply(transition(FIRST, RolloutPhase.DONE, 1, 1)), is(APPLIED));
    }

    @Test
    void aStaleLeaseHolderIsFencedAfterItsSuccessorHasWritten() {
        apply(transition(FIRST, RolloutPhase.DECLARED, 0, 5));
        apply(transition(FIRST, RolloutPhase.CANARY, 0.01, 9));
        assertThat(apply(transition(FIRST, RolloutPhase.RAMP, 0.5, 5)), is(FENCED));
        assertThat(stateMachine.state(SERVICE).orElseThrow().share(), is(0.01));
    }

    @Test
    void aLeaseHolderThatOnlyRepeatsTheStateStillFencesItsPredecessor() {
        apply(transition(FIRST, RolloutPhase.DECLARED, 0, 5));
        assertThat(apply(transition(FIRST, RolloutPhase.DECLARED, 0, 9)), is(DUPLICATE));
        assertThat(apply(transition(FIRST, RolloutPhase.CANARY, 0.01, 5)), is(FENCED));
    }

    @Test
    void aRollbackIsAppliedInAnyPhaseWithoutALease() {
        apply(transition(FIRST, RolloutPhase.DECLARED, 0, 5));
        apply(transition(FIRST, RolloutPhase.RAMP, 0.5, 9));
        assertThat(apply(RolloutTransition.rollback(FIRST, InstanceId.of("entry-9"), "bad")), is(APPLIED));
        assertThat(stateMachine.state(SERVICE).orElseThrow().share(), is(0.0));
    }

    @Test
    void theFirstFinalStateByOffsetStands() {
        for (boolean doneFirst : new boolean[] {true, false}) {
            RolloutStateMachine fresh = RolloutStateMachine.empty();
            RolloutTransition done = transition(FIRST, RolloutPhase.DONE, 1, 3);
            RolloutTransition rollback = RolloutTransition.rollback(FIRST, InstanceId.of("entry-9"), "bad");
            fresh.apply(0, Instant.EPOCH, transition(FIRST, RolloutPhase.DECLARED, 0, 3));
            fresh.apply(1, Instant.EPOCH, transition(FIRST, RolloutPhase.PROBATION, 0.9, 3));
            assertThat(fresh.apply(2, Instant.EPOCH, doneFirst ? done : rollback), is(APPLIED));
            assertThat(fresh.apply(3, Instant.EPOCH, doneFirst ? rollback : done), is(ALREADY_DECIDED));
            assertThat(fresh.apply(4, Instant.EPOCH, doneFirst ? done : rollback), is(DUPLICATE));
            assertThat(
                    fresh.state(SERVICE).orElseThrow().phase(),
                    is(doneFirst ? RolloutPhase.DONE : RolloutPhase.ROLLED_BACK));
        }
    }

    @Test
    void aSecondRolloutOfAServiceIsRejectedUntilTheFirstIsDecided() {
        apply(transition(FIRST, RolloutPhase.DECLARED, 0, 1));
        assertThat(apply(transition(SECOND, RolloutPhase.DECLARED, 0, 2)), is(CONFLICTING_ROLLOUT));
        apply(RolloutTransition.rollback(FIRST, InstanceId.of("entry-1"), "withdrawn"));
        assertThat(apply(transition(SECOND, RolloutPhase.DECLARED, 0, 2)), is(APPLIED));
        assertThat(apply(transition(FIRST, RolloutPhase.CANARY, 0.1, 3)), is(CONFLICTING_ROLLOUT));
        assertThat(stateMachine.state(FIRST).orElseThrow().phase(), is(RolloutPhase.ROLLED_BACK));
    }

    @Test
    void everyProcessReachesTheSameStatesAndFinalStatesNeverChange() {
        long seed = 4242;
        Random random = new Random(seed);
        for (int run = 0; run < 300; run++) {
            RolloutStateMachine first = RolloutStateMachine.empty();
            RolloutStateMachine second = RolloutStateMachine.empty();
            List<RolloutTransition> records = new ArrayList<>();
            RolloutPhase finalPhase = null;
            for (int index = 0; index < 60; index++) {
                RolloutTransition record = randomTransition(random);
                records.add(record);
                first.apply(index, Instant.EPOCH, record);
                RolloutPhase phase = first.state(FIRST).map(RolloutState::phase).orElse(null);
                assertThat("seed " + seed + " run " + run, finalPhase == null || finalPhase == phase, is(true));
                finalPhase = phase != null && phase.isTerminal() ? phase : finalPhase;
            }
            for (int index = 0; index < records.size(); index++) {
                second.apply(index, Instant.EPOCH, records.get(index));
                second.apply(index, Instant.EPOCH, records.get(index));
            }
            assertThat("seed " + seed + " run " + run, second.states(), equalTo(first.states()));
        }
    }

    private RolloutStateMachine.Outcome apply(RolloutTransition transition) {
        return stateMachine.apply(offset++, Instant.EPOCH, transition);
    }

    private static RolloutTransition randomTransition(Random random) {
        long token = random.nextInt(4);
        List<RolloutTransition> choices = List.of(
                transition(FIRST, RolloutPhase.DECLARED, 0, token),
                transition(FIRST, RolloutPhase.CANARY, 0.01, token),
                transition(FIRST, RolloutPhase.RAMP, 0.5, token),
                transition(FIRST, RolloutPhase.PROBATION, 0.9, token),
                transition(FIRST, RolloutPhase.DONE, 1, token),
                transition(FIRST, RolloutPhase.ROLLED_BACK, 0, token));
        return choices.get(random.nextInt(choices.size()));
    }

    private static RolloutTransition transition(RolloutId id, RolloutPhase phase, double share, long token) {
        return new RolloutTransition(id, phase, share, token, InstanceId.of("entry-1"), "test");
    }
}
