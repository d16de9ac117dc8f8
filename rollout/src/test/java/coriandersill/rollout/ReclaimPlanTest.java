package coriandersill.rollout;

import static coriandersill.rollout.ReclaimPlan.Action.FINISH;
import static coriandersill.rollout.ReclaimPlan.Action.MOVE;
import static coriandersill.rollout.ReclaimPlan.Action.RUN_UNTIL_RECLAIMED;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import coriandersill.core.CallId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a call that is lost when its engine is reclaimed at short notice although it could have finished there
 * or run elsewhere, and against moves of calls that help no call.
 */
class ReclaimPlanTest {
    private static final Duration NOTICE = Duration.ofSeconds(10);
    private static final ReclaimPlan.DecodeSpeed CONSTANT_SPEED = new ReclaimPlan.DecodeSpeed(10_000_000, 0);
    private static final ReclaimPlan.DecodeSpeed LOAD_DEPENDENT_SPEED =
            new ReclaimPlan.DecodeSpeed(10_000_000, 10_000_000);

    @Test
    void callsThatFinishInTimeStayAndOnlyCallsWithoutOutputMove() {
        assertThat(
                actions(CONSTANT_SPEED, call(900, true), call(5000, true), call(5000, false), call(0, false)),
                equalTo(List.of(FINISH, MOVE, RUN_UNTIL_RECLAIMED, FINISH)));
    }

    @Test
    void aCallWithoutOutputMovesSoThatACallThatCannotMoveFinishesInTime() {
        assertThat(
                actions(LOAD_DEPENDENT_SPEED, call(300, true), call(200, true), call(450, false)),
                equalTo(List.of(MOVE, FINISH, FINISH)));
    }

    @Test
    void aCallThatCouldFinishMovesOnlyIfAnotherCallBenefits() {
        assertThat(
                actions(LOAD_DEPENDENT_SPEED, call(300, true), call(200, true), call(9000, false)),
                equalTo(List.of(FINISH, FINISH, RUN_UNTIL_RECLAIMED)));
    }

    private static List<ReclaimPlan.Action> actions(ReclaimPlan.DecodeSpeed speed, ReclaimPlan.RunningCall... calls) {
        List<ReclaimPlan.RunningCall> running = new ArrayList<>();
        for (int i = 0; i < calls.length; i++) {
            running.add(new ReclaimPlan.RunningCall(new CallId(0, i), calls[i].remainingTokens(), calls[i].movable()));
        }
        ReclaimPlan plan = ReclaimPlan.of(running, NOTICE, speed);
        return running.stream().map(call -> plan.actions().get(call.id())).toList();
    }

    private static ReclaimPlan.RunningCall call(double remainingTokens, boolean movable) {
        return new ReclaimPlan.RunningCall(new CallId(0, 0), remainingTokens, movable);
    }
}
