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
    /** The number of calls until the deadline in {@link RolloutScenario#GOOD_THIN}. */
    private static final double LOW_TRAFFIC_CALLS = 720;

    /** The time from the declaration until the upstreams of the new version are ready, but cold. */
    private static final Duration LOADING_TIME = Duration.ofMinutes(2);
    /** The time in which the traffic share that the new version's upstreams can serve grows by 1. */
    private static final Duration WARM_UP_TIME = Duration.ofMinutes(10);
    /** The traffic share that the new version's upstreams can serve when they are ready. */
    private static final double INITIAL_WARM_SHARE = 0.2;

    /**
     * The time from the end of a judged window to the effect of the verdict, in windows of 5 s: 2 s until the window
     * closes ({@link EvidenceTable#CLOSE_DELAY}), and 1 s until the verdict reaches every entry.
     */
    private static final double STOP_DELAY_WINDOWS = 0.6;

    private final RolloutPlan plan;
    private final Judge judge;
    private final Pacer pacer;
    private final SimulatedTraffic traffic;
    private RolloutPhase phase = RolloutPhase.DECLARED;
    private double share;
    private Instant lastTransitionAt = Instant.EPOCH;
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
            RolloutWorkload.Size size, RolloutScenario scenario, JudgeFactory judgeFactory, Pacer pacer, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        RolloutWorkload workload = RolloutWorkload.of(size, random);
        if (scenario == RolloutScenario.GOOD_THIN) {
            workload = workload.withRequestsPerSecond(
                    LOW_TRAFFIC_CALLS / workload.timeToDeadline().toSeconds());
        }
        RolloutPlan plan = new RolloutPlan(
                new RolloutId(ServiceName.of("scribe"), 0),
                VersionName.of("v1"),
                VersionName.of("v2"),
                Instant.EPOCH,
                Instant.EPOCH.plus(workload.timeToDeadline()),
                FIRST_SHARE,
                workload.probation(),
                new RegressionCriteria(
                        SimulatedTraffic.ERROR_FACTOR,
                        SimulatedTraffic.LATENCY_FACTOR,
                        SimulatedTraffic.LATENCY_FACTOR));
        long windows = workload.timeToDeadline().dividedBy(EvidenceTable.WINDOW);
        JudgeSettings settings =
                new JudgeSettings(plan.criteria(), workload.routes().keySet(), FALSE_ALARM_RATE, windows);
        SimulatedTraffic traffic = new SimulatedTraffic(workload, scenario, random);
        return new RolloutSimulation(plan, judgeFactory.create(settings), pacer, traffic).runToVerdict();
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
            step(new PaceInput(
                    plan, phase, share, lastTransitionAt, phaseSince, now, judgement, conditions(now, zoneChanging)));
            if (phase == RolloutPhase.ROLLED_BACK) {
                traffic.addHarmedRequests(elapsedFraction, shareBefore, STOP_DELAY_WINDOWS);
            }
        }
        double endFraction = (double) now.toEpochMilli() / plan.duration().toMillis();
        return new RolloutResult(phase, endFraction, traffic.harmedRequests() / traffic.exposedRequests(), reason);
    }

    private void step(PaceInput input) {
        Pacer.Step step = pacer.next(input);
        lastTransitionAt = step.share() == share && step.phase() == phase ? lastTransitionAt : input.now();
        phaseSince = step.phase() == phase ? phaseSince : input.now();
        phase = step.phase();
        share = step.share();
        reason = step.reason();
    }

    private static PaceInput.Conditions conditions(Instant now, boolean zoneChanging) {
        Duration sinceReady = Duration.between(Instant.EPOCH.plus(LOADING_TIME), now);
        double warmShare = sinceReady.isNegative()
                ? 0
                : INITIAL_WARM_SHARE + (double) sinceReady.toMillis() / WARM_UP_TIME.toMillis();
        return new PaceInput.Conditions(Math.min(1, warmShare), zoneChanging, true);
    }
}
