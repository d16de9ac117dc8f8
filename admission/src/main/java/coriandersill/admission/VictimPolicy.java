package coriandersill.admission;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Chooses the generation to give up when engine memory runs out. */
@FunctionalInterface
public interface VictimPolicy {

    /** Returns the one of {@code candidates} to give up, or nothing to leave it to the engine. */
    Optional<RunningGeneration> choose(List<RunningGeneration> candidates);

    /**
     * Returns the policy that gives up the lowest priority that has delivered nothing, and of those the one that has
     * the least memory to compute again.
     */
    static VictimPolicy cheapestUndelivered() {
        return candidates -> candidates.stream()
                .filter(candidate -> candidate.generated() == 0)
                .min(Comparator.comparingInt(RunningGeneration::priority)
                        .thenComparingLong(RunningGeneration::heldTokens));
    }

    /** Returns the policy that leaves every choice to the engine. */
    static VictimPolicy leaveToEngine() {
        return candidates -> Optional.empty();
    }
}
