package coriandersill.rollout.log;

import coriandersill.rollout.Judge;
import coriandersill.rollout.Judgement;
import coriandersill.rollout.RolloutPlan;

/**
 * A declared rollout with the judgement of this process on its evidence.
 *
 * <p>The judge and the non-volatile fields are accessed by one tick at a time. The volatile fields are also read for
 * {@link RolloutService#status} and written when an append completes or the log restarts.
 */
final class TrackedRollout {
    private static final long NO_RECORD = -1;
    private static final long OFFSET_UNKNOWN = Long.MAX_VALUE;

    private final RolloutPlan plan;
    private final Judge judge;
    private long lastJudgedWindow;
    /** The earliest time of the next attempt to append a rollback; 0 until the first one is scheduled. */
    private long nextRollbackMillis;

    private volatile Judgement judgement = Judgement.none();
    private volatile String decisionReason = "no evidence yet";
    private volatile long pendingOffset = NO_RECORD;

    TrackedRollout(RolloutPlan plan, Judge judge, long lastJudgedWindow) {
        this.plan = plan;
        this.judge = judge;
        this.lastJudgedWindow = lastJudgedWindow;
    }

    RolloutPlan plan() {
        return plan;
    }

    Judge judge() {
        return judge;
    }

    long lastJudgedWindow() {
        return lastJudgedWindow;
    }

    void recordJudgement(long window, Judgement result) {
        lastJudgedWindow = window;
        judgement = result;
    }

    Judgement judgement() {
        return judgement;
    }

    String decisionReason() {
        return decisionReason;
    }

    void setDecisionReason(String reason) {
        decisionReason = reason;
    }

    /** Whether a record is being appended, or was appended at an offset after {@code lastDeliveredOffset}. */
    boolean isRecordPending(long lastDeliveredOffset) {
        return pendingOffset != NO_RECORD && pendingOffset > lastDeliveredOffset;
    }

    /** Marks a record as being appended. */
    void markRecordPending() {
        pendingOffset = OFFSET_UNKNOWN;
    }

    /** Marks the pending record as appended at {@code offset}. */
    void markRecordAppended(long offset) {
        pendingOffset = offset;
    }

    /** Marks that no record is pending. */
    void clearPendingRecord() {
        pendingOffset = NO_RECORD;
    }

    long nextRollbackMillis() {
        return nextRollbackMillis;
    }

    void setNextRollbackMillis(long millis) {
        nextRollbackMillis = millis;
    }
}
