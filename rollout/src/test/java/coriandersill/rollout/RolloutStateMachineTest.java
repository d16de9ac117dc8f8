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

/** Covers V5 (the fold's part), V7 and V10. */
class RolloutStateMachineTest {
    private static final ServiceName SERVICE = ServiceName.of("scribe");
    private static final RolloutId FIRST = new RolloutId(SERVICE, 10);
    private static final RolloutId SECOND = new RolloutId(SERVICE, 20);

    private final RolloutStateMachine fold = RolloutStateMachine.empty();
    private long offset;

    @Test
    void aRolloutGoesThroughItsPhasesToDone() {
        assertThat(apply(step(FIRST, RolloutPhase.DECLARED, 0, 1)), is(APPLIED));
        assertThat(apply(step(FIRST, RolloutPhase.LOADING, 0, 1)), is(APPLIED));
        assertThat(apply(step(FIRST, RolloutPhase.CANARY, 0.01, 1)), is(APPLIED));
        assertThat(apply(step(FIRST, RolloutPhase.RAMP, 0.3, 1)), is(APPLIED));
        assertThat(apply(step(FIRST, RolloutPhase.RAMP, 0.2, 1)), is(INVALID_TRANSITION));
        assertThat(apply(step(FIRST, RolloutPhase.CANARY, 0.3, 1)), is(INVALID_TRANSITION));
        assertThat(apply(step(FIRST, RolloutPhase.DONE, 1, 1)), is(INVALID_TRANSITION));
        assertThat(apply(step(FIRST, RolloutPhase.PROBATION, 0.9, 1)), is(APPLIED));
        assertThat(apply(step(FIRST, RolloutPhase.DONE, 1, 1)), is(APPLIED));
    }

    @Test
    void aHolderThatWakesAfterItsSuccessorActedIsFenced() {
        apply(step(FIRST, RolloutPhase.DECLARED, 0, 5));
        apply(step(FIRST, RolloutPhase.CANARY, 0.01, 9));
        assertThat(apply(step(FIRST, RolloutPhase.RAMP, 0.5, 5)), is(FENCED));
        assertThat(fold.state(SERVICE).orElseThrow().share(), is(0.01));
    }

    @Test
    void aHolderThatOnlyRepeatsTheStateStillFencesItsPredecessor() {
        apply(step(FIRST, RolloutPhase.DECLARED, 0, 5));
        assertThat(apply(step(FIRST, RolloutPhase.DECLARED, 0, 9)), is(DUPLICATE));
        assertThat(apply(step(FIRST, RolloutPhase.CANARY, 0.01, 5)), is(FENCED));
    }

    @Test
    void aRollbackNeedsNoLeaseAndNoPhase() {
        apply(step(FIRST, RolloutPhase.DECLARED, 0, 5));
        apply(step(FIRST, RolloutPhase.RAMP, 0.5, 9));
        assertThat(apply(RolloutTransition.rollback(FIRST, InstanceId.of("entry-9"), "bad")), is(APPLIED));
        assertThat(fold.state(SERVICE).orElseThrow().share(), is(0.0));
    }

    @Test
    void theFirstVerdictByOffsetStandsWhoeverSaysTheOther() {
        for (boolean doneFirst : new boolean[] {true, false}) {
            RolloutStateMachine raced = RolloutStateMachine.empty();
            RolloutTransition done = step(FIRST, RolloutPhase.DONE, 1, 3);
            RolloutTransition back = RolloutTransition.rollback(FIRST, InstanceId.of("entry-9"), "bad");
            raced.apply(0, Instant.EPOCH, step(FIRST, RolloutPhase.DECLARED, 0, 3));
            raced.apply(1, Instant.EPOCH, step(FIRST, RolloutPhase.PROBATION, 0.9, 3));
            assertThat(raced.apply(2, Instant.EPOCH, doneFirst ? done : back), is(APPLIED));
            assertThat(raced.apply(3, Instant.EPOCH, doneFirst ? back : done), is(ALREADY_DECIDED));
            assertThat(raced.apply(4, Instant.EPOCH, doneFirst ? done : back), is(DUPLICATE));
            assertThat(
                    raced.state(SERVICE).orElseThrow().phase(),
                    is(doneFirst ? RolloutPhase.DONE : RolloutPhase.ROLLED_BACK));
        }
    }

    @Test
    void aSecondRolloutOfAServiceWaitsForTheVerdictOnTheFirst() {
        apply(step(FIRST, RolloutPhase.DECLARED, 0, 1));
        assertThat(apply(step(SECOND, RolloutPhase.DECLARED, 0, 2)), is(CONFLICTING_ROLLOUT));
        apply(RolloutTransition.rollback(FIRST, InstanceId.of("entry-1"), "withdrawn"));
        assertThat(apply(step(SECOND, RolloutPhase.DECLARED, 0, 2)), is(APPLIED));
        assertThat(apply(step(FIRST, RolloutPhase.CANARY, 0.1, 3)), is(CONFLICTING_ROLLOUT));
        assertThat(fold.state(FIRST).orElseThrow().phase(), is(RolloutPhase.ROLLED_BACK));
    }

    @Test
    void everyProcessReachesTheSameStatesAndNoVerdictEverChangesWhateverIsAppended() {
        long seed = 4242;
        Random random = new Random(seed);
        for (int run = 0; run < 300; run++) {
            RolloutStateMachine one = RolloutStateMachine.empty();
            RolloutStateMachine other = RolloutStateMachine.empty();
            List<RolloutTransition> records = new ArrayList<>();
            RolloutPhase verdict = null;
            for (int at = 0; at < 60; at++) {
                RolloutTransition record = anyTransition(random);
                records.add(record);
                one.apply(at, Instant.EPOCH, record);
                RolloutPhase phase = one.state(FIRST).map(RolloutState::phase).orElse(null);
                assertThat("seed " + seed + " run " + run, verdict == null || verdict == phase, is(true));
                verdict = phase != null && phase.isTerminal() ? phase : verdict;
            }
            for (int at = 0; at < records.size(); at++) {
                other.apply(at, Instant.EPOCH, records.get(at));
                other.apply(at, Instant.EPOCH, records.get(at));
            }
            assertThat("seed " + seed + " run " + run, other.states(), equalTo(one.states()));
        }
    }

    private RolloutStateMachine.Outcome apply(RolloutTransition transition) {
        return fold.apply(offset++, Instant.EPOCH, transition);
    }

    private static RolloutTransition anyTransition(Random random) {
        long token = random.nextInt(4);
        List<RolloutTransition> choices = List.of(
                step(FIRST, RolloutPhase.DECLARED, 0, token),
                step(FIRST, RolloutPhase.CANARY, 0.01, token),
                step(FIRST, RolloutPhase.RAMP, 0.5, token),
                step(FIRST, RolloutPhase.PROBATION, 0.9, token),
                step(FIRST, RolloutPhase.DONE, 1, token),
                step(FIRST, RolloutPhase.ROLLED_BACK, 0, token));
        return choices.get(random.nextInt(choices.size()));
    }

    private static RolloutTransition step(RolloutId id, RolloutPhase phase, double share, long token) {
        return new RolloutTransition(id, phase, share, token, InstanceId.of("entry-1"), "test");
    }
}
