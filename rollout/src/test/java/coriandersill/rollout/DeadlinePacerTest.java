package coriandersill.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/**
 * Guards against a canary share that exposes too many callers, against a share that exceeds what the warm upstreams can
 * serve or is raised while a zone is changing or the evidence is near an alarm, and against a rollout that is undecided
 * at its deadline.
 */
class DeadlinePacerTest {
    private static final Duration TOTAL = Duration.ofHours(4);
    private static final Judgement THIN = judgement(Judgement.Finding.THIN, 0, 0, 100);
    private static final Judgement PROVEN = judgement(Judgement.Finding.PROVEN, 1, 0, 5000);
    private static final PaceInput.Conditions UNRESTRICTED = PaceInput.Conditions.unrestricted();

    private final Pacer pacer = DeadlinePacer.create();

    @Test
    void theCanaryShareIsLimitedByTheBoundOnExposure() {
        assertThat(DeadlinePacer.canaryShare(plan(0.5)), lessThanOrEqualTo(0.0125));
        assertThat(DeadlinePacer.canaryShare(plan(0.001)), is(0.001));
    }

    @Test
    void theShareOfAProvenVersionGrowsInStepsWithinTheCapacityOfItsWarmUpstreams() {
        Pacer.Step unrestricted = next(RolloutPhase.RAMP, 0.2, 0.42, PROVEN, UNRESTRICTED);
        assertThat(unrestricted.phase(), is(RolloutPhase.RAMP));
        assertThat(unrestricted.share(), is(0.26));
        PaceInput.Conditions coldUpstreams = new PaceInput.Conditions(0.21, false, true);
        assertThat(next(RolloutPhase.RAMP, 0.2, 0.42, PROVEN, coldUpstreams).share(), is(0.2));
    }

    @Test
    void aVersionProvenEarlyStaysInCanaryForTheMinimumTime() {
        assertThat(next(RolloutPhase.CANARY, 0.01, 0.29, PROVEN, UNRESTRICTED).phase(), is(RolloutPhase.CANARY));
        assertThat(next(RolloutPhase.CANARY, 0.01, 0.31, PROVEN, UNRESTRICTED).phase(), is(RolloutPhase.RAMP));
    }

    @Test
    void withoutEnoughEvidenceTheCanaryTakesItsMaximumTimeAndTheRampStillEndsInTime() {
        assertThat(next(RolloutPhase.CANARY, 0.01, 0.39, THIN, UNRESTRICTED).phase(), is(RolloutPhase.CANARY));
        assertThat(next(RolloutPhase.CANARY, 0.01, 0.41, THIN, UNRESTRICTED).phase(), is(RolloutPhase.RAMP));
        assertThat(next(RolloutPhase.RAMP, 0.5, 0.83, THIN, UNRESTRICTED).share(), is(0.9));
    }

    @Test
    void theShareIsHeldWhileAZoneChangesOrAnAlarmIsNear() {
        PaceInput.Conditions changing = new PaceInput.Conditions(1, true, true);
        assertThat(next(RolloutPhase.RAMP, 0.3, 0.5, PROVEN, changing).share(), is(0.3));
        assertThat(next(RolloutPhase.CANARY, 0.01, 0.3, PROVEN, changing).phase(), is(RolloutPhase.CANARY));
        Judgement nearAlarm = judgement(Judgement.Finding.PROVEN, 1, 0.8, 5000);
        assertThat(next(RolloutPhase.RAMP, 0.3, 0.83, nearAlarm, UNRESTRICTED).share(), is(0.3));
    }

    @Test
    void atTheDeadlineEveryRolloutIsDecidedWithAReason() {
        assertDecision(RolloutPhase.RAMP, PROVEN, RolloutPhase.ROLLED_BACK, "not at full share");
        assertDecision(RolloutPhase.PROBATION, THIN, RolloutPhase.DONE, "nothing bad in 100 calls");
        Judgement fewCalls = judgement(Judgement.Finding.THIN, 0, 0, DeadlinePacer.MIN_CALLS - 1);
        assertDecision(RolloutPhase.PROBATION, fewCalls, RolloutPhase.ROLLED_BACK, "thin evidence");
        Judgement nearAlarm = judgement(Judgement.Finding.PROVEN, 1, 0.8, 5000);
        assertDecision(RolloutPhase.PROBATION, nearAlarm, RolloutPhase.ROLLED_BACK, "near an alarm");
    }

    @Test
    void probationEndsOnlyAfterItsDurationAndWithReportsFromEveryProcess() {
        PaceInput.Conditions reportsMissing = new PaceInput.Conditions(1, false, false);
        assertThat(
                next(RolloutPhase.PROBATION, 0.9, 0.97, PROVEN, reportsMissing).phase(), is(RolloutPhase.PROBATION));
        assertThat(next(RolloutPhase.PROBATION, 0.9, 0.5, PROVEN, UNRESTRICTED).phase(), is(RolloutPhase.PROBATION));
        assertThat(next(RolloutPhase.PROBATION, 0.9, 0.97, PROVEN, UNRESTRICTED).phase(), is(RolloutPhase.DONE));
    }

    @Test
    void aBadVersionIsRolledBackInEveryPhase() {
        Judgement bad = judgement(Judgement.Finding.BAD, 1, 1, 50);
        for (RolloutPhase phase : RolloutPhase.values()) {
            if (!phase.isTerminal()) {
                assertThat(next(phase, 0.1, 0.3, bad, UNRESTRICTED).phase(), is(RolloutPhase.ROLLED_BACK));
            }
        }
    }

    private void assertDecision(RolloutPhase phase, Judgement judgement, RolloutPhase expected, String reason) {
        Pacer.Step step = next(phase, 0.9, 1, judgement, UNRESTRICTED);
        assertThat(step.phase(), is(expected));
        assertThat(step.reason(), containsString(reason));
    }

    private Pacer.Step next(
            RolloutPhase phase,
            double share,
            double timeFraction,
            Judgement judgement,
            PaceInput.Conditions conditions) {
        Instant phaseSince = at(phase == RolloutPhase.PROBATION ? 0.45 : 0.4);
        return pacer.next(new PaceInput(
                plan(0.01), phase, share, phaseSince, phaseSince, at(timeFraction), judgement, conditions));
    }

    private static Instant at(double timeFraction) {
        return Instant.EPOCH.plusMillis((long) (TOTAL.toMillis() * timeFraction));
    }

    private static Judgement judgement(Judgement.Finding finding, double progress, double suspicion, long calls) {
        return new Judgement(finding, progress, progress, suspicion, calls, "test");
    }

    private static RolloutPlan plan(double firstShare) {
        return new RolloutPlan(
                new RolloutId(ServiceName.of("scribe"), 0),
                VersionName.of("v1"),
                VersionName.of("v2"),
                Instant.EPOCH,
                Instant.EPOCH.plus(TOTAL),
                firstShare,
                Duration.ofMinutes(30),
                new RegressionCriteria(3, 2, 2));
    }
}
