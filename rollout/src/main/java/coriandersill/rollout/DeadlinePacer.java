package coriandersill.rollout;

import java.time.Duration;
import java.time.Instant;

/**
 * Keeps the share small until the version is proven, then raises it as fast as the capacity of its upstreams allows,
 * and decides the rollout at the deadline.
 *
 * <p>The canary phase ends between 30% and 40% of the total time; while any zone is changing, it may last until the
 * ramp must end. It has a minimum because some versions become bad only after a while, and the canary share affects the
 * fewest callers. The canary share is limited so that at most 0.5% of the traffic up to the deadline is exposed to the
 * new version in this phase: a version that is bad from the start harms fewer than 1% of the callers even if it is
 * detected only at the end of the phase.
 *
 * <p>Full share means all traffic except {@link #CONTROL_SHARE}. In the ramp the share follows a geometric curve that
 * reaches full share in time for probation; enough evidence raises it ahead of the curve. While any zone is leaving,
 * out of service or returning, even one in which the service does not run, the share is held as long as the deadline
 * permits. While the evidence is near an alarm, the share is not raised beyond 20%, or beyond its current value if that
 * is higher, so that more evidence accumulates quickly without harming more callers. Evidence that is still near an
 * alarm at the deadline causes a rollback.
 *
 * <p>At the deadline a rollout in probation completes if the new version has served at least {@link #MIN_CALLS} calls
 * and no evidence shows it to be bad. Any other rollout is rolled back, because the evidence or the share is
 * insufficient: a version with almost no calls is untested, whereas the old version is known to work.
 */
public final class DeadlinePacer implements Pacer {
    /** The minimum number of calls that the new version must have served for the rollout to complete. */
    public static final long MIN_CALLS = 30;

    /** The share that the old version keeps during probation, as the control group of the comparison. */
    public static final double CONTROL_SHARE = 0.1;

    private static final double FULL_SHARE = 1 - CONTROL_SHARE;
    private static final double MAX_CANARY_EXPOSURE_FRACTION = 0.005;
    private static final double MAX_CANARY_TIME_FRACTION = 0.4;
    private static final double MIN_CANARY_TIME_FRACTION = 0.3;
    private static final double DEADLINE_MARGIN_FRACTION = 0.05;
    private static final double STEP_RATIO = 1.3;
    private static final double MIN_STEP_INTERVAL_FRACTION = 0.004;
    private static final Duration MIN_STEP_INTERVAL = EvidenceTable.WINDOW.multipliedBy(3);
    /** The suspicion from which the evidence is near an alarm. */
    private static final double NEAR_ALARM_SUSPICION = 0.5;
    /**
     * The share at which evidence accumulates quickly: near an alarm it is not raised beyond this value, and from this
     * value on a step requires the full amount of evidence since the last one.
     */
    private static final double INFORMATIVE_SHARE = 0.2;

    private static final double MIN_INCREASE_RATIO = 1.1;

    private DeadlinePacer() {}

    /** Returns the pacer. */
    public static DeadlinePacer create() {
        return new DeadlinePacer();
    }

    @Override
    public Step next(PaceInput input) {
        if (input.phase().isTerminal()) {
            return hold(input, "decided");
        }
        if (input.judgement().finding() == Judgement.Finding.BAD) {
            return rollBack(input.judgement().reason());
        }
        if (!input.now().isBefore(input.plan().deadline())) {
            return atDeadline(input);
        }
        return switch (input.phase()) {
            case DECLARED -> new Step(RolloutPhase.LOADING, 0, "declared");
            case LOADING -> inLoading(input);
            case CANARY -> inCanary(input);
            case RAMP -> inRamp(input);
            case PROBATION -> inProbation(input);
            case DONE, ROLLED_BACK -> hold(input, "decided");
        };
    }

    /** Returns the share of the new version in the canary phase. */
    public static double canaryShare(RolloutPlan plan) {
        return Math.min(plan.firstShare(), MAX_CANARY_EXPOSURE_FRACTION / MAX_CANARY_TIME_FRACTION);
    }

    private static Step inLoading(PaceInput input) {
        double share = canaryShare(input.plan());
        if (input.conditions().warmShare() < share) {
            return hold(input, "no warm upstream of the new version");
        }
        return new Step(RolloutPhase.CANARY, share, "upstreams are ready");
    }

    private static Step inCanary(PaceInput input) {
        if (input.conditions().zoneChanging() && !isPastRampEnd(input)) {
            return hold(input, "a zone of the service is changing");
        }
        Instant earliest = input.plan().declaredAt().plus(fractionOfDuration(input.plan(), MIN_CANARY_TIME_FRACTION));
        boolean proven = input.judgement().finding() == Judgement.Finding.PROVEN && !isNearAlarm(input);
        if (proven && !input.now().isBefore(earliest)) {
            return new Step(RolloutPhase.RAMP, input.share(), "proven at the canary share");
        }
        Instant end = input.plan().declaredAt().plus(fractionOfDuration(input.plan(), MAX_CANARY_TIME_FRACTION));
        if (input.now().isBefore(end)) {
            return hold(input, "evidence is thin");
        }
        return new Step(RolloutPhase.RAMP, input.share(), "evidence is thin, the deadline nears");
    }

    private static Step inRamp(PaceInput input) {
        if (input.share() >= FULL_SHARE) {
            return new Step(RolloutPhase.PROBATION, input.share(), "full share but the control");
        }
        if (isNearAlarm(input) && input.share() >= INFORMATIVE_SHARE) {
            return hold(input, "held: " + input.judgement().reason());
        }
        if (!isPastRampEnd(input) && input.conditions().zoneChanging()) {
            return hold(input, "a zone of the service is changing");
        }
        double target = isStepDue(input) ? input.share() * STEP_RATIO : input.share();
        target = Math.max(target, scheduledShare(input));
        target = isNearAlarm(input) ? Math.min(INFORMATIVE_SHARE, target) : target;
        target = Math.min(FULL_SHARE, Math.min(target, input.conditions().warmShare()));
        if (target < input.share() * MIN_INCREASE_RATIO && target < FULL_SHARE) {
            return hold(input, "next step is not due");
        }
        return target > input.share() ? new Step(RolloutPhase.RAMP, target, "step") : hold(input, "upstreams are cold");
    }

    private static Step inProbation(PaceInput input) {
        if (input.now().isBefore(input.phaseSince().plus(input.plan().probation()))) {
            return hold(input, "in probation");
        }
        if (!input.conditions().reportsComplete() || isNearAlarm(input)) {
            return hold(input, "reports are missing or near an alarm");
        }
        if (input.judgement().calls() < MIN_CALLS) {
            return hold(input, "evidence is thin");
        }
        return new Step(
                RolloutPhase.DONE,
                1,
                "probation passed after " + input.judgement().calls() + " calls");
    }

    private static Step atDeadline(PaceInput input) {
        if (input.phase() != RolloutPhase.PROBATION) {
            return rollBack("not at full share by the deadline");
        }
        long calls = input.judgement().calls();
        if (calls < MIN_CALLS) {
            return rollBack("thin evidence at the deadline: " + calls + " calls of " + MIN_CALLS);
        }
        if (isNearAlarm(input)) {
            return rollBack(
                    "near an alarm at the deadline: " + input.judgement().reason());
        }
        return new Step(RolloutPhase.DONE, 1, "deadline: nothing bad in " + calls + " calls");
    }

    /** Returns the current point of the geometric curve from the canary share to full share. */
    private static double scheduledShare(PaceInput input) {
        RolloutPlan plan = input.plan();
        Duration length = Duration.between(input.phaseSince(), rampEnd(plan));
        Duration elapsed = Duration.between(input.phaseSince(), input.now());
        if (length.isNegative() || length.isZero()) {
            return FULL_SHARE;
        }
        double fraction = Math.min(1, (double) elapsed.toMillis() / length.toMillis());
        return Math.pow(canaryShare(plan) / FULL_SHARE, 1 - fraction) * FULL_SHARE;
    }

    /**
     * Returns the time by which the ramp must reach full share: the probation and a margin before the deadline, but at
     * least two margins after the end of the longest canary phase.
     */
    private static Instant rampEnd(RolloutPlan plan) {
        Duration reserve = plan.probation().plus(fractionOfDuration(plan, DEADLINE_MARGIN_FRACTION));
        Duration maxReserve = fractionOfDuration(plan, 1 - MAX_CANARY_TIME_FRACTION - 2 * DEADLINE_MARGIN_FRACTION);
        return plan.deadline().minus(reserve.compareTo(maxReserve) < 0 ? reserve : maxReserve);
    }

    private static boolean isPastRampEnd(PaceInput input) {
        return input.now().isAfter(rampEnd(input.plan()));
    }

    /**
     * Whether the minimum interval since the last step has passed and the evidence since then allows the next one; the
     * required amount of evidence grows with the share.
     */
    private static boolean isStepDue(PaceInput input) {
        Duration relativeInterval = fractionOfDuration(input.plan(), MIN_STEP_INTERVAL_FRACTION);
        Duration interval = relativeInterval.compareTo(MIN_STEP_INTERVAL) > 0 ? relativeInterval : MIN_STEP_INTERVAL;
        double requiredProgress = Math.min(1, input.share() / INFORMATIVE_SHARE);
        return input.judgement().finding() == Judgement.Finding.PROVEN
                && input.judgement().stepProgress() >= requiredProgress
                && !isNearAlarm(input)
                && !input.now().isBefore(input.lastTransitionAt().plus(interval));
    }

    private static boolean isNearAlarm(PaceInput input) {
        return input.judgement().suspicion() >= NEAR_ALARM_SUSPICION;
    }

    private static Duration fractionOfDuration(RolloutPlan plan, double fraction) {
        return Duration.ofMillis((long) (plan.duration().toMillis() * fraction));
    }

    private static Step hold(PaceInput input, String reason) {
        return new Step(input.phase(), input.share(), reason);
    }

    private static Step rollBack(String reason) {
        return new Step(RolloutPhase.ROLLED_BACK, 0, reason);
    }
}
