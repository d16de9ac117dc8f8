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

/** Simulates one rollout in virtual time, in steps of one evidence window. */
final class RolloutSimulation {
    /** The false alarm rate that the judges are configured with. */
    static final double FALSE_ALARM_RATE = 0.002;

    private static final double FIRST_SHARE = 0.01;
    private static final double LOW_TRAFFIC_CALLS = 720;
    private static final Duration LOADING_TIME = Duration.ofMinutes(2);
    private static final Duration WARM_UP_TIME = Duration.ofMinutes(10);
    private static final double INITIAL_WARM_FRACTION = 0.2;
    /** The delay until a verdict takes effect, in windows: the close delay, and 1 s for it to reach every entry. */
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

    /** Simulates a rollout until its verdict. */
    static RolloutResult run(
            Deployment.Size size, RolloutScenario scenario, JudgeFactory judges, Pacer pacer, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Deployment deployment = Deployment.of(size, random);
        if (scenario == RolloutScenario.GOOD_THIN) {
            deployment = deployment.withRequestsPerSecond(
                    LOW_TRAFFIC_CALLS / deployment.total().toSeconds());
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
        SimulatedTraffic traffic = new SimulatedTraffic(deployment, scenario, random);
        return new RolloutSimulation(plan, judges.create(settings), pacer, traffic).runToVerdict();
    }

    private RolloutResult runToVerdict() {
        Judgement judgement = Judgement.none();
        Instant now = Instant.EPOCH;
        long window = 0;
        while (!phase.isTerminal()) {
            double elapsedFraction =
                    (double) now.toEpochMilli() / plan.duration().toMillis();
            boolean zoneChanging = traffic.isZoneChanging(elapsedFraction);
            List<Stratum> strata = traffic.sampleWindow(elapsedFraction, share);
            traffic.addHarmedRequests(elapsedFraction, share, 1);
            if (share > 0 && !zoneChanging) {
                judgement = judge.observe(new WindowEvidence(window, share, strata));
            }
            window++;
            now = now.plus(EvidenceTable.WINDOW);
            double shareBefore = share;
            step(new PaceInput(plan, phase, share, since, phaseSince, now, judgement, conditions(now, zoneChanging)));
            if (phase == RolloutPhase.ROLLED_BACK) {
                traffic.addHarmedRequests(elapsedFraction, shareBefore, STOP_DELAY_WINDOWS);
            }
        }
        double endFraction = (double) now.toEpochMilli() / plan.duration().toMillis();
        return new RolloutResult(phase, endFraction, traffic.harmedRequests() / traffic.exposedRequests(), reason);
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
        Duration warming = Duration.between(Instant.EPOCH.plus(LOADING_TIME), now);
        double warmFraction = warming.isNegative()
                ? 0
                : INITIAL_WARM_FRACTION + (double) warming.toMillis() / WARM_UP_TIME.toMillis();
        return new PaceInput.Conditions(Math.min(1, warmFraction), zoneChanging, true);
    }
}
