package coriandersill.rollout.log;

import coriandersill.rollout.Judge;
import coriandersill.rollout.Judgement;
import coriandersill.rollout.RolloutPlan;

/** One declared rollout and what this process has made of its evidence; touched by one tick at a time. */
final class TrackedRollout {
    private static final long NONE = -1;
    private static final long IN_FLIGHT = Long.MAX_VALUE;

    private final RolloutPlan plan;
    private final Judge judge;
    private long lastJudged;
    private long nextRollbackMillis;
    private volatile Judgement judgement = Judgement.none();
    private volatile String nextStep = "no evidence yet";
    private volatile long awaited = NONE;

    TrackedRollout(RolloutPlan plan, Judge judge, long lastJudged) {
        this.plan = plan;
        this.judge = judge;
        this.lastJudged = lastJudged;
    }

    RolloutPlan plan() {
        return plan;
    }

    Judge judge() {
        return judge;
    }

    long lastJudged() {
        return lastJudged;
    }

    void judged(long window, Judgement result) {
        lastJudged = window;
        judgement = result;
    }

    Judgement judgement() {
        return judgement;
    }

    String nextStep() {
        return nextStep;
    }

    void nextStep(String reason) {
        nextStep = reason;
    }

    /** Whether a record of this rollout is on its way to the log, or was taken but not read back up to {@code read}. */
    boolean awaits(long read) {
        return awaited != NONE && awaited > read;
    }

    /** Notes that a record is on its way. */
    void sent() {
        awaited = IN_FLIGHT;
    }

    /** Notes that the log took the record at {@code offset}. */
    void taken(long offset) {
        awaited = offset;
    }

    /** Notes that nothing is awaited. */
    void settled() {
        awaited = NONE;
    }

    long nextRollbackMillis() {
        return nextRollbackMillis;
    }

    void nextRollbackMillis(long millis) {
        nextRollbackMillis = millis;
    }
}
