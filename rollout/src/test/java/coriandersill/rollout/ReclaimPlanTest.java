package coriandersill.rollout;

import static coriandersill.rollout.ReclaimPlan.Action.FINISH;
import static coriandersill.rollout.ReclaimPlan.Action.MOVE;
import static coriandersill.rollout.ReclaimPlan.Action.RUN_UNTIL_GONE;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import coriandersill.core.CallId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Covers the part of G7 in which an engine is reclaimed at short notice. */
class ReclaimPlanTest {
    private static final Duration NOTICE = Duration.ofSeconds(10);
    private static final ReclaimPlan.DecodeSpeed FLAT = new ReclaimPlan.DecodeSpeed(10_000_000, 0);
    private static final ReclaimPlan.DecodeSpeed CROWDED = new ReclaimPlan.DecodeSpeed(10_000_000, 10_000_000);

    @Test
    void whatEndsInTimeStaysAndOnlyWhatDeliveredNothingMoves() {
        assertThat(
                fates(FLAT, work(900, true), work(5000, true), work(5000, false), work(0, false)),
                equalTo(List.of(FINISH, MOVE, RUN_UNTIL_GONE, FINISH)));
    }

    @Test
    void workThatDeliveredNothingMakesRoomForWorkThatCannotMove() {
        assertThat(
                fates(CROWDED, work(300, true), work(200, true), work(450, false)),
                equalTo(List.of(MOVE, FINISH, FINISH)));
    }

    @Test
    void workMovesOnlyWhenItsLeavingHelps() {
        assertThat(
                fates(CROWDED, work(300, true), work(200, true), work(9000, false)),
                equalTo(List.of(FINISH, FINISH, RUN_UNTIL_GONE)));
    }

    private static List<ReclaimPlan.Action> fates(ReclaimPlan.DecodeSpeed speed, ReclaimPlan.RunningCall... works) {
        List<ReclaimPlan.RunningCall> running = new ArrayList<>();
        for (int i = 0; i < works.length; i++) {
            running.add(new ReclaimPlan.RunningCall(new CallId(0, i), works[i].remainingTokens(), works[i].movable()));
        }
        ReclaimPlan plan = ReclaimPlan.of(running, NOTICE, speed);
        return running.stream().map(work -> plan.fates().get(work.id())).toList();
    }

    private static ReclaimPlan.RunningCall work(double remaining, boolean movable) {
        return new ReclaimPlan.RunningCall(new CallId(0, 0), remaining, movable);
    }
}
