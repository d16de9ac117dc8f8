package coriandersill.rollout;

import java.time.Duration;
import java.time.Instant;

/**
 * Keeps the share small until the version is proven, then raises it as fast as its upstreams bear it, and decides at
 * the deadline.
 *
 * <p>The canary stage takes at least three tenths of the time, since some versions turn bad only after a while and harm
 * the fewest callers there, and at most four tenths. The canary share is at most what exposes half of a hundredth of
 * the traffic up to the deadline, so that a version that is bad at once harms fewer than one caller in a hundred even
 * if it shows only at the end of the canary stage. Without enough evidence the share follows a geometric curve that
 * reaches its end in time. While a zone of the service leaves or returns, the share is held as long as the deadline
 * permits. While the evidence comes near an alarm, the share does not go beyond a fifth, or beyond where it is, so that
 * the evidence resolves quickly without harming more callers; evidence that is still near an alarm at the deadline
 * rolls back.
 *
 * <p>At the deadline a rollout in probation is done if the new version has served at least {@link #MIN_CALLS} calls and
 * nothing shows it bad; any other is rolled back, for want of evidence or of share. A version that nearly nobody called
 * has shown nothing, and the old one is known to work.
 */
public final class DeadlinePacer implements Pacer {
    /** How many calls the new version must have served to be accepted at the deadline. */
    public static final long MIN_CALLS = 30;

    /** The share that stays at the old version during probation, as the control of the comparison. */
    public static final double CONTROL_SHARE = 0.1;

    private static final double FULL_SHARE = 1 - CONTROL_SHARE;
    private static final double EXPOSED_IN_CANARY = 0.005;
    private static final double CANARY_PART = 0.4;
    private static final double LEAST_CANARY_PART = 0.3;
    private static final double MARGIN_PART = 0.05;
    private static final double STEP_RATIO = 1.3;
    private static final double STEP_PART = 0.004;
    private static final Duration LEAST_STEP = EvidenceTable.WINDOW.multipliedBy(3);
    private static final double HOLD_SUSPICION = 0.5;
    private static final double TELLING_SHARE = 0.2;
    private static final double LEAST_INCREASE = 1.1;

    private DeadlinePacer() {}

    /** Returns the pacer. */
    public static DeadlinePacer create() {
        return new DeadlinePacer();
    }

    @Override
    public Step next(PaceInput input) {
        if (input.phase().isTerminal()) {
            return stay(input, "decided");
        }
        if (input.judgement().finding() == Judgement.Finding.BAD) {
            return rollBack(input.judgement().reason());
        }
        if (!input.now().isBefore(input.plan().deadline())) {
            return atDeadline(input);
        }
        return switch (input.phase()) {
            case DECLARED -> new Step(RolloutPhase.LOADING, 0, "declared");
            case LOADING -> afterLoading(input);
            case CANARY -> afterCanary(input);
            case RAMP -> ramp(input);
            case PROBATION -> afterProbation(input);
            case DONE, ROLLED_BACK -> stay(input, "decided");
        };
    }

    /** Returns the share of the canary stage. */
    public static double canaryShare(RolloutPlan plan) {
        return Math.min(plan.firstShare(), EXPOSED_IN_CANARY / CANARY_PART);
    }

    private static Step afterLoading(PaceInput input) {
        double share = canaryShare(input.plan());
        if (input.conditions().warmShare() < share) {
            return stay(input, "no warm upstream of the new version");
        }
        return new Step(RolloutPhase.CANARY, share, "upstreams are ready");
    }

    private static Step afterCanary(PaceInput input) {
        if (input.conditions().zoneChanging() && !late(input)) {
            return stay(input, "a zone of the service is changing");
        }
        Instant earliest = input.plan().declaredAt().plus(part(input.plan(), LEAST_CANARY_PART));
        boolean proven = input.judgement().finding() == Judgement.Finding.PROVEN && !suspicious(input);
        if (proven && !input.now().isBefore(earliest)) {
            return new Step(RolloutPhase.RAMP, input.share(), "proven at the canary share");
        }
        Instant end = input.plan().declaredAt().plus(part(input.plan(), CANARY_PART));
        if (input.now().isBefore(end)) {
            return stay(input, "evidence is thin");
        }
        return new Step(RolloutPhase.RAMP, input.share(), "evidence is thin, the deadline nears");
    }

    private static Step ramp(PaceInput input) {
        if (input.share() >= FULL_SHARE) {
            return new Step(RolloutPhase.PROBATION, input.share(), "full share but the control");
        }
        if (suspicious(input) && input.share() >= TELLING_SHARE) {
            return stay(input, "held: " + input.judgement().reason());
        }
        if (!late(input) && input.conditions().zoneChanging()) {
            return stay(input, "a zone of the service is changing");
        }
        double target = stepDue(input) ? input.share() * STEP_RATIO : input.share();
        target = Math.max(target, scheduled(input));
        target = suspicious(input) ? Math.min(TELLING_SHARE, target) : target;
        target = Math.min(FULL_SHARE, Math.min(target, input.conditions().warmShare()));
        if (target < input.share() * LEAST_INCREASE && target < FULL_SHARE) {
            return stay(input, "next step is not due");
        }
        return target > input.share() ? new Step(RolloutPhase.RAMP, target, "step") : stay(input, "upstreams are cold");
    }

    private static Step afterProbation(PaceInput input) {
        if (input.now().isBefore(input.phaseSince().plus(input.plan().probation()))) {
            return stay(input, "in probation");
        }
        if (!input.conditions().reportsComplete() || suspicious(input)) {
            return stay(input, "reports are missing or near an alarm");
        }
        if (input.judgement().calls() < MIN_CALLS) {
            return stay(input, "evidence is thin");
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
        if (suspicious(input)) {
            return rollBack(
                    "near an alarm at the deadline: " + input.judgement().reason());
        }
        return new Step(RolloutPhase.DONE, 1, "deadline: nothing bad in " + calls + " calls");
    }

    /** Returns the share by the geometric curve from the canary share to the full one. */
    private static double scheduled(PaceInput input) {
        RolloutPlan plan = input.plan();
        Duration length = Duration.between(input.phaseSince(), rampEnd(plan));
        Duration gone = Duration.between(input.phaseSince(), input.now());
        if (length.isNegative() || length.isZero()) {
            return FULL_SHARE;
        }
        double part = Math.min(1, (double) gone.toMillis() / length.toMillis());
        return Math.pow(canaryShare(plan) / FULL_SHARE, 1 - part) * FULL_SHARE;
    }

    private static Instant rampEnd(RolloutPlan plan) {
        Duration reserve = plan.probation().plus(part(plan, MARGIN_PART));
        Duration longest = part(plan, 1 - CANARY_PART - 2 * MARGIN_PART);
        return plan.deadline().minus(reserve.compareTo(longest) < 0 ? reserve : longest);
    }

    private static boolean late(PaceInput input) {
        return input.now().isAfter(rampEnd(input.plan()));
    }

    /** Whether the last step has shown enough for the next one: the larger the share, the more. */
    private static boolean stepDue(PaceInput input) {
        Duration step = part(input.plan(), STEP_PART);
        Duration least = step.compareTo(LEAST_STEP) > 0 ? step : LEAST_STEP;
        double needed = Math.min(1, input.share() / TELLING_SHARE);
        return input.judgement().finding() == Judgement.Finding.PROVEN
                && input.judgement().stepProgress() >= needed
                && !suspicious(input)
                && !input.now().isBefore(input.since().plus(least));
    }

    private static boolean suspicious(PaceInput input) {
        return input.judgement().suspicion() >= HOLD_SUSPICION;
    }

    private static Duration part(RolloutPlan plan, double part) {
        return Duration.ofMillis((long) (plan.duration().toMillis() * part));
    }

    private static Step stay(PaceInput input, String reason) {
        return new Step(input.phase(), input.share(), reason);
    }

    private static Step rollBack(String reason) {
        return new Step(RolloutPhase.ROLLED_BACK, 0, reason);
    }
}
