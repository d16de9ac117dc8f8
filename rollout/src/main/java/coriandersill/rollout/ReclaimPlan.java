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
 * What becomes of the work at an engine that is reclaimed at short notice.
 *
 * <pre>{@code
 * ReclaimPlan plan = ReclaimPlan.of(running, Duration.ofSeconds(30), speed);
 * plan.fates().get(generation);
 * }</pre>
 *
 * <p>Work that has delivered something, or may not run twice, stays: another run could not continue it. Work that has
 * delivered nothing moves when it would not end in time, and also, the longest first, when its leaving makes the engine
 * fast enough for work that has to stay.
 *
 * @param fates the fate of each piece of work
 */
public record ReclaimPlan(Map<CallId, Action> fates) {

    /** Copies the map. */
    public ReclaimPlan {
        fates = Map.copyOf(fates);
    }

    /** What becomes of one piece of work. */
    public enum Action {
        /** It is expected to end within the notice. */
        FINISH,
        /** It is cancelled here now and runs anew at another upstream. */
        MOVE,
        /** It runs on until the engine goes, and then ends with what it has delivered. */
        RUN_UNTIL_GONE
    }

    /**
     * One running piece of work.
     *
     * @param id the generation
     * @param remainingTokens the estimate of the tokens still to come
     * @param movable whether nothing was delivered yet and it may run again
     */
    public record RunningCall(CallId id, double remainingTokens, boolean movable) {}

    /**
     * How fast the engine decodes.
     *
     * @param baseNanos time for a token of each running request when one runs
     * @param nanosPerRequest how much longer that takes for each further running request
     */
    public record DecodeSpeed(double baseNanos, double nanosPerRequest) {
        double tokensWithin(Duration notice, int running) {
            return notice.toNanos() / (baseNanos + nanosPerRequest * Math.max(0, running - 1));
        }
    }

    /** Returns the plan for an engine that goes after {@code notice}. */
    public static ReclaimPlan of(Collection<RunningCall> running, Duration notice, DecodeSpeed speed) {
        List<RunningCall> kept = new ArrayList<>(running);
        kept.sort(Comparator.comparingDouble(RunningCall::remainingTokens).reversed());
        moveWhatDoesNotEnd(kept, notice, speed);
        moveWhatHoldsOthersBack(kept, notice, speed);
        Map<CallId, Action> fates = new HashMap<>();
        running.forEach(work -> fates.put(work.id(), Action.MOVE));
        double reach = speed.tokensWithin(notice, kept.size());
        kept.forEach(
                work -> fates.put(work.id(), work.remainingTokens() <= reach ? Action.FINISH : Action.RUN_UNTIL_GONE));
        return new ReclaimPlan(fates);
    }

    private static void moveWhatDoesNotEnd(List<RunningCall> kept, Duration notice, DecodeSpeed speed) {
        boolean moved = true;
        while (moved) {
            double reach = speed.tokensWithin(notice, kept.size());
            moved = removeLongest(kept, reach);
        }
    }

    private static boolean removeLongest(List<RunningCall> kept, double reach) {
        for (RunningCall work : kept) {
            if (work.movable() && work.remainingTokens() > reach) {
                return kept.remove(work);
            }
        }
        return false;
    }

    private static void moveWhatHoldsOthersBack(List<RunningCall> kept, Duration notice, DecodeSpeed speed) {
        List<RunningCall> movable = kept.stream().filter(RunningCall::movable).toList();
        for (int moves = 1; moves <= movable.size(); moves++) {
            double reach = speed.tokensWithin(notice, kept.size());
            double better = speed.tokensWithin(notice, kept.size() - moves);
            boolean helps = kept.stream()
                    .anyMatch(work ->
                            !work.movable() && work.remainingTokens() > reach && work.remainingTokens() <= better);
            if (helps) {
                kept.removeAll(movable.subList(0, moves));
                moveWhatHoldsOthersBack(kept, notice, speed);
                return;
            }
        }
    }
}
