package coriandersill.admission;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Chooses the generation to cancel when engine memory runs out. */
@FunctionalInterface
public interface VictimPolicy {

    /** Returns the candidate to cancel, or empty to leave the choice to the engine. */
    Optional<RunningGeneration> choose(List<RunningGeneration> candidates);

    /**
     * Returns a policy that cancels a generation without output: one of the lowest priority, and among those the one
     * that holds the least memory and so is cheapest to recompute.
     */
    static VictimPolicy cheapestWithoutOutput() {
        return candidates -> candidates.stream()
                .filter(candidate -> candidate.generatedTokens() == 0)
                .min(Comparator.comparingInt(RunningGeneration::priority)
                        .thenComparingLong(RunningGeneration::heldTokens));
    }

    /** Returns a policy that always leaves the choice to the engine. */
    static VictimPolicy leaveToEngine() {
        return candidates -> Optional.empty();
    }
}
