package coriandersill.rollout;

import coriandersill.core.MonotonicClock;
import coriandersill.core.VersionName;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * One rollout as this process carries it out, on its own calls and the evidence of all.
 *
 * <pre>{@code
 * OrderedRollout rollout = OrderedRollout.start(order, limit, criteria, evidence, clock);
 * boolean target = rollout.selectsTarget(hash);   // for each call
 * Optional<Conclusion> own = rollout.evaluate(informed);  // several times a second
 * rollout.conclude(conclusion);                   // the first one that all processes agreed on
 * }</pre>
 *
 * <p>Until shortly before the deadline the target gets a share that keeps its calls within the exposure limit. If it is
 * proven by then, it gets all new calls for the rest of the time, so that few calls run on the old version when that is
 * stopped, and the rollout completes. A target that is found bad, or that too few calls have tested, is reverted.
 *
 * <p>Thread-safe: guarded by a lock of rank {@link LockRank#ROLLOUT}, under which nothing else is called.
 */
public final class OrderedRollout {
    /** The version under which samples of all versions but the target are counted. */
    public static final VersionName OTHER_VERSIONS = VersionName.of("other");

    private static final double MAX_SHARE = 0.3;

    /** The fraction of the exposure limit that the share is planned to use; the rest is for calls under way. */
    private static final double PLANNED_LIMIT_FRACTION = 0.6;

    /** The fraction of the duration, at the end, during which a proven target gets all new calls. */
    private static final double SWITCHED_FRACTION = 0.1;

    private static final Duration MIN_SWITCHED_TIME = Duration.ofMillis(2_500);
    private static final Duration MAX_SWITCHED_TIME = Duration.ofMinutes(1);

    /** How long before the deadline the rollout is decided, so that the decision is known in time. */
    private static final Duration DECISION_MARGIN = Duration.ofMillis(600);

    /** How long before the deadline the evidence on which it is decided must be complete at the earliest. */
    private static final Duration COMPLETE_EVIDENCE_MARGIN = Duration.ofSeconds(1);

    /** How long the versions are told apart after the end, until the stopped one is no longer listed. */
    private static final Duration PREFERENCE_AFTER_END = Duration.ofSeconds(30);

    private final RankedLock lock = RankedLock.of(LockRank.ROLLOUT);
    private final RolloutOrder order;
    private final ExposureLimit limit;
    private final FewCallsJudge judge;
    private final CumulativeEvidence evidence;
    private final MonotonicClock clock;
    private long startedAtNanos;
    private boolean suspended;
    private double share = MAX_SHARE;
    private boolean switched;
    private Optional<Conclusion> ownConclusion = Optional.empty();
    private Optional<Conclusion> conclusion = Optional.empty();
    private long concludedAtNanos;

    /** How a rollout ends. */
    public enum Outcome {
        /** All calls go to the target; the old version is stopped. */
        COMPLETED,
        /** No call goes to the target. */
        REVERTED
    }

    /**
     * The end of a rollout.
     *
     * @param outcome how it ends
     * @param reason the evidence
     */
    public record Conclusion(Outcome outcome, String reason) {}

    private OrderedRollout(
            RolloutOrder order,
            ExposureLimit limit,
            RegressionCriteria criteria,
            CumulativeEvidence evidence,
            MonotonicClock clock) {
        this.order = Objects.requireNonNull(order, "order");
        this.limit = Objects.requireNonNull(limit, "limit");
        this.judge = FewCallsJudge.of(criteria);
        this.evidence = Objects.requireNonNull(evidence, "evidence");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.startedAtNanos = clock.nanos();
    }

    /** Returns a rollout whose time starts now. */
    public static OrderedRollout start(
            RolloutOrder order,
            ExposureLimit limit,
            RegressionCriteria criteria,
            CumulativeEvidence evidence,
            MonotonicClock clock) {
        return new OrderedRollout(order, limit, criteria, evidence, clock);
    }

    /** Returns the order. */
    public RolloutOrder order() {
        return order;
    }

    /** Returns the evidence on which the rollout is decided. */
    public CumulativeEvidence evidence() {
        return evidence;
    }

    /** Returns whether a call with this hash goes to the target rather than to another version. */
    public boolean selectsTarget(long hash) {
        double currentShare = lock.with(() -> conclusion
                .or(() -> ownConclusion)
                .map(end -> end.outcome() == Outcome.COMPLETED ? 1.0 : 0.0)
                .orElseGet(this::shareInProgress));
        return TrafficSplit.unitPosition(hash) < currentShare;
    }

    private double shareInProgress() {
        if (suspended) {
            return 0;
        }
        return switched ? 1 : share;
    }

    /**
     * Sets whether no call is sent to the target, unless there is no other, because the rollout may have ended without
     * this process knowing.
     */
    public void setSuspended(boolean value) {
        lock.run(() -> suspended = value);
    }

    /** Records that another process has carried out the rollout for {@code elapsed}. */
    public void startedEarlier(Duration elapsed) {
        lock.run(() -> startedAtNanos = Math.min(startedAtNanos, clock.nanos() - elapsed.toNanos()));
    }

    /** Returns for how long the rollout has been carried out, as far as this process knows. */
    public Duration elapsed() {
        return lock.with(() -> Duration.ofNanos(clock.nanos() - startedAtNanos));
    }

    /** Returns whether the time has come to complete the evidence on which the rollout is decided at its deadline. */
    public boolean isDecisionNear() {
        return order.duration().minus(elapsed()).compareTo(COMPLETE_EVIDENCE_MARGIN) <= 0;
    }

    /** Returns whether the rollout no longer matters for the choice between versions other than a reverted target. */
    public boolean isOver() {
        return lock.with(
                () -> conclusion.isPresent() && clock.nanos() - concludedAtNanos > PREFERENCE_AFTER_END.toNanos());
    }

    /** Returns whether the target must receive no call at all. */
    public boolean isReverted() {
        return lock.with(() -> conclusion
                .or(() -> ownConclusion)
                .filter(end -> end.outcome() == Outcome.REVERTED)
                .isPresent());
    }

    /** Returns whether the target gets all new calls, before the rollout is concluded or after its completion. */
    public boolean hasSwitched() {
        return lock.with(() -> switched && !isReverted());
    }

    /** Returns how the rollout ended; empty while it is in progress. */
    public Optional<Conclusion> conclusion() {
        return lock.with(() -> conclusion);
    }

    /** Records the end that all processes agreed on, in place of an earlier one. */
    public void conclude(Conclusion agreed) {
        lock.run(() -> {
            if (conclusion.isEmpty()) {
                concludedAtNanos = clock.nanos();
            }
            conclusion = Optional.of(agreed);
        });
    }

    /**
     * Judges the evidence and adjusts the share; returns the end that this process proposes, once it does. From then on
     * it acts accordingly, until another end is agreed on.
     *
     * @param informed whether the evidence includes all that others had sent when the decision was
     *     {@linkplain #isDecisionNear near}; without it a process that was frozen or cut off would decide on an old
     *     view, so only a target that is found bad is reverted
     */
    public Optional<Conclusion> evaluate(boolean informed) {
        List<Stratum> strata = evidence.strata(order.id().service(), OTHER_VERSIONS, order.target());
        Judgement judgement = judge.judge(strata);
        long allCalls = strata.stream()
                .mapToLong(
                        stratum -> stratum.oldCell().calls() + stratum.newCell().calls())
                .sum();
        return lock.with(() -> {
            if (conclusion.isEmpty() && ownConclusion.isEmpty()) {
                decide(judgement, allCalls, informed);
            }
            return conclusion.isEmpty() ? ownConclusion : Optional.empty();
        });
    }

    private void decide(Judgement judgement, long allCalls, boolean informed) {
        Duration elapsed = Duration.ofNanos(clock.nanos() - startedAtNanos);
        Duration left = order.duration().minus(elapsed);
        boolean proven = judgement.finding() == Judgement.Finding.PROVEN;
        if (judgement.finding() == Judgement.Finding.BAD) {
            ownConclusion = Optional.of(new Conclusion(Outcome.REVERTED, judgement.reason()));
        } else if (informed && left.compareTo(DECISION_MARGIN) <= 0) {
            switched |= proven;
            ownConclusion = Optional.of(conclusionAtDeadline(judgement));
        } else if (left.compareTo(switchedTime()) <= 0 && proven) {
            switched = true;
        }
        share = plannedShare(judgement.calls(), allCalls, elapsed);
    }

    private Conclusion conclusionAtDeadline(Judgement judgement) {
        return switched
                ? new Conclusion(Outcome.COMPLETED, "served " + judgement.calls() + " calls")
                : new Conclusion(
                        Outcome.REVERTED,
                        "not proven by the deadline: " + judgement.calls() + " calls, " + judgement.reason());
    }

    /** Returns the share that keeps the calls of the target within the limit if calls come as they did so far. */
    private double plannedShare(long targetCalls, long allCalls, Duration elapsed) {
        double allowed = PLANNED_LIMIT_FRACTION * (limit.fraction() * allCalls + limit.calls()) - targetCalls;
        double timeRatio = order.duration().minus(elapsed).toNanos() / (double) Math.max(1, elapsed.toNanos());
        double expectedCalls = Math.max(1, allCalls * timeRatio);
        double planned = (allowed + PLANNED_LIMIT_FRACTION * limit.fraction() * expectedCalls) / expectedCalls;
        return Math.max(0, Math.min(MAX_SHARE, planned));
    }

    private Duration switchedTime() {
        Duration fraction = Duration.ofNanos((long) (order.duration().toNanos() * SWITCHED_FRACTION));
        Duration atLeast = fraction.compareTo(MIN_SWITCHED_TIME) < 0 ? MIN_SWITCHED_TIME : fraction;
        return atLeast.compareTo(MAX_SWITCHED_TIME) > 0 ? MAX_SWITCHED_TIME : atLeast;
    }
}
