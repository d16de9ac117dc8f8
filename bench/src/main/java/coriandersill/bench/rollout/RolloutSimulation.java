package coriandersill.bench.rollout;

import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.rollout.EvidenceTable;
import coriandersill.rollout.Judge;
import coriandersill.rollout.JudgeFactory;
import coriandersill.rollout.JudgeSettings;
import coriandersill.rollout.Judgement;
import coriandersill.rollout.PaceInput;
import coriandersill.rollout.Pacer;
import coriandersill.rollout.RegressionCriteria;
import coriandersill.rollout.RolloutId;
import coriandersill.rollout.RolloutPhase;
import coriandersill.rollout.RolloutPlan;
import coriandersill.rollout.Stratum;
import coriandersill.rollout.WindowEvidence;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.SplittableRandom;

/** Runs one rollout in virtual time, a window a step. */
final class RolloutSimulation {
    /** The false alarm rate that the judges are given. */
    static final double FALSE_ALARM_RATE = 0.002;

    private static final double FIRST_SHARE = 0.01;
    private static final double THIN_CALLS = 720;
    private static final Duration LOADING = Duration.ofMinutes(2);
    private static final Duration WARMING = Duration.ofMinutes(10);
    private static final double COLD_SHARE = 0.2;
    /** The close delay and one second for the verdict to reach every entry, in windows. */
    private static final double STOP_DELAY_WINDOWS = 0.6;

    private final RolloutPlan plan;
    private final Judge judge;
    private final Pacer pacer;
    private final SimulatedTraffic traffic;
    private RolloutPhase phase = RolloutPhase.DECLARED;
    private double share;
    private Instant since = Instant.EPOCH;
    private Instant phaseSince = Instant.EPOCH;
    private String reason = "";

    private RolloutSimulation(RolloutPlan plan, Judge judge, Pacer pacer, SimulatedTraffic traffic) {
        this.plan = plan;
        this.judge = judge;
        this.pacer = pacer;
        this.traffic = traffic;
    }

    /** Runs the rollout of a seed to its verdict. */
    static RolloutResult run(Deployment.Size size, RolloutScenario kind, JudgeFactory judges, Pacer pacer, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Deployment deployment = Deployment.of(size, random);
        if (kind == RolloutScenario.GOOD_THIN) {
            deployment = deployment.withRequestsPerSecond(
                    THIN_CALLS / deployment.total().toSeconds());
        }
        RolloutPlan plan = new RolloutPlan(
                new RolloutId(ServiceName.of("scribe"), 0),
                VersionName.of("v1"),
                VersionName.of("v2"),
                Instant.EPOCH,
                Instant.EPOCH.plus(deployment.total()),
                FIRST_SHARE,
                deployment.probation(),
                new RegressionCriteria(
                        SimulatedTraffic.ERROR_FACTOR,
                        SimulatedTraffic.LATENCY_FACTOR,
                        SimulatedTraffic.LATENCY_FACTOR));
        long windows = deployment.total().dividedBy(EvidenceTable.WINDOW);
        JudgeSettings settings =
                new JudgeSettings(plan.criteria(), deployment.routes().keySet(), FALSE_ALARM_RATE, windows);
        SimulatedTraffic traffic = new SimulatedTraffic(deployment, kind, random);
        return new RolloutSimulation(plan, judges.create(settings), pacer, traffic).toVerdict();
    }

    private RolloutResult toVerdict() {
        Judgement judgement = Judgement.none();
        Instant now = Instant.EPOCH;
        long window = 0;
        while (!phase.isTerminal()) {
            double part = (double) now.toEpochMilli() / plan.duration().toMillis();
            boolean zoneChanging = traffic.zoneChanging(part);
            List<Stratum> strata = traffic.window(part, share);
            traffic.countHarm(part, share, 1);
            if (share > 0 && !zoneChanging) {
                judgement = judge.observe(new WindowEvidence(window, share, strata));
            }
            window++;
            now = now.plus(EvidenceTable.WINDOW);
            double shareBefore = share;
            step(new PaceInput(plan, phase, share, since, phaseSince, now, judgement, conditions(now, zoneChanging)));
            if (phase == RolloutPhase.ROLLED_BACK) {
                traffic.countHarm(part, shareBefore, STOP_DELAY_WINDOWS);
            }
        }
        double endPart = (double) now.toEpochMilli() / plan.duration().toMillis();
        return new RolloutResult(phase, endPart, traffic.harmed() / traffic.exposedTraffic(), reason);
    }

    private void step(PaceInput input) {
        Pacer.Step step = pacer.next(input);
        since = step.share() == share && step.phase() == phase ? since : input.now();
        phaseSince = step.phase() == phase ? phaseSince : input.now();
        phase = step.phase();
        share = step.share();
        reason = step.reason();
    }

    private static PaceInput.Conditions conditions(Instant now, boolean zoneChanging) {
        Duration warm = Duration.between(Instant.EPOCH.plus(LOADING), now);
        double warmShare = warm.isNegative() ? 0 : COLD_SHARE + (double) warm.toMillis() / WARMING.toMillis();
        return new PaceInput.Conditions(Math.min(1, warmShare), zoneChanging, true);
    }
}
