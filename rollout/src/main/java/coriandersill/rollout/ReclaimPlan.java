package coriandersill.rollout;

import coriandersill.core.CallId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Determines what happens to each running call of an engine that is reclaimed at short notice.
 *
 * <pre>{@code
 * ReclaimPlan plan = ReclaimPlan.of(running, Duration.ofSeconds(30), speed);
 * plan.actions().get(callId);
 * }</pre>
 *
 * <p>A call that has already produced output, or is not idempotent, stays on the engine, since another run could not
 * continue it. A call without output moves if it would not finish in time. Calls without output also move, longest
 * first, if the remaining calls then run fast enough for one that cannot move to finish in time.
 *
 * @param actions the action for each call
 */
public record ReclaimPlan(Map<CallId, Action> actions) {

    /** Copies the map. */
    public ReclaimPlan {
        actions = Map.copyOf(actions);
    }

    /** The action taken for one call. */
    public enum Action {
        /** It keeps running and is expected to finish within the notice period. */
        FINISH,
        /** It is cancelled now and restarted on another upstream. */
        MOVE,
        /** It keeps running until the engine is reclaimed, and then ends with the output produced so far. */
        RUN_UNTIL_RECLAIMED
    }

    /**
     * A running call.
     *
     * @param id the call
     * @param remainingTokens the estimated number of tokens still to be generated
     * @param movable whether the call has produced no output yet and may be run again
     */
    public record RunningCall(CallId id, double remainingTokens, boolean movable) {}

    /**
     * The decoding speed of an engine, as times per token.
     *
     * @param baseNanosPerToken the time per token when a single request is running
     * @param addedNanosPerTokenPerRequest the additional time per token for each further running request
     */
    public record DecodeSpeed(double baseNanosPerToken, double addedNanosPerTokenPerRequest) {

        /** Returns the number of tokens that each of {@code running} requests generates within {@code notice}. */
        double tokensWithin(Duration notice, int running) {
            return notice.toNanos() / (baseNanosPerToken + addedNanosPerTokenPerRequest * Math.max(0, running - 1));
        }
    }

    /** Returns the plan for an engine that is reclaimed after {@code notice}. */
    public static ReclaimPlan of(Collection<RunningCall> running, Duration notice, DecodeSpeed speed) {
        List<RunningCall> remaining = new ArrayList<>(running);
        remaining.sort(Comparator.comparingDouble(RunningCall::remainingTokens).reversed());
        moveCallsThatCannotFinish(remaining, notice, speed);
        moveCallsToSpeedUpOthers(remaining, notice, speed);
        Map<CallId, Action> actions = new HashMap<>();
        running.forEach(call -> actions.put(call.id(), Action.MOVE));
        double tokens = speed.tokensWithin(notice, remaining.size());
        remaining.forEach(call ->
                actions.put(call.id(), call.remainingTokens() <= tokens ? Action.FINISH : Action.RUN_UNTIL_RECLAIMED));
        return new ReclaimPlan(actions);
    }

    private static void moveCallsThatCannotFinish(List<RunningCall> remaining, Duration notice, DecodeSpeed speed) {
        boolean moved = true;
        while (moved) {
            double tokens = speed.tokensWithin(notice, remaining.size());
            moved = removeLongestThatCannotFinish(remaining, tokens);
        }
    }

    private static boolean removeLongestThatCannotFinish(List<RunningCall> remaining, double tokens) {
        for (RunningCall call : remaining) {
            if (call.movable() && call.remainingTokens() > tokens) {
                return remaining.remove(call);
            }
        }
        return false;
    }

    private static void moveCallsToSpeedUpOthers(List<RunningCall> remaining, Duration notice, DecodeSpeed speed) {
        List<RunningCall> movable =
                remaining.stream().filter(RunningCall::movable).toList();
        for (int moves = 1; moves <= movable.size(); moves++) {
            double tokens = speed.tokensWithin(notice, remaining.size());
            double tokensAfterMoves = speed.tokensWithin(notice, remaining.size() - moves);
            boolean anotherCanFinish = remaining.stream()
                    .anyMatch(call -> !call.movable()
                            && call.remainingTokens() > tokens
                            && call.remainingTokens() <= tokensAfterMoves);
            if (anotherCanFinish) {
                remaining.removeAll(movable.subList(0, moves));
                moveCallsToSpeedUpOthers(remaining, notice, speed);
                return;
            }
        }
    }
}
