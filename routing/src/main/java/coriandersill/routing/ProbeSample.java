package coriandersill.routing;

import coriandersill.core.InstanceId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/** Selects the engines whose load is worth asking for before a generation is placed. */
public final class ProbeSample {
    private ProbeSample() {}

    /**
     * Returns the engines to ask: at random, but those first at which the fewest of the caller's expectations are
     * missed by what is known without asking. Without known differences of pace, all are equal.
     *
     * @param size the maximum number of engines
     */
    public static List<InstanceId> choose(
            List<Candidate> candidates, GenerationDemand demand, PaceSnapshot paces, int size, RandomGenerator random) {
        Map<InstanceId, Double> ranks = new HashMap<>();
        for (Candidate candidate : candidates) {
            double missed = paces.uneven()
                    ? CompletionEstimate.of(candidate, demand, paces, 0).missed()
                    : 0;
            ranks.put(candidate.instance(), Math.floor(missed) + random.nextDouble());
        }
        List<InstanceId> ordered = new ArrayList<>(ranks.keySet());
        ordered.sort(Comparator.comparing(ranks::get));
        return List.copyOf(ordered.subList(0, Math.min(size, ordered.size())));
    }
}
