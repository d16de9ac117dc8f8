package coriandersill.routing;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Sends calls with the same prompt prefix to the same upstream while that one carries at most a stated multiple of the
 * mean load.
 *
 * <p>The choice is by rendezvous hashing, so that it is the same on every entry and moves only the calls of an upstream
 * that comes or goes. A call without a prefix, or whose every candidate is above the bound, goes by another policy.
 */
public final class PrefixAffinity implements RoutingPolicy {
    private static final double FULL_LOAD = 1;

    private final double bound;
    private final RoutingPolicy otherwise;

    private PrefixAffinity(double bound, RoutingPolicy otherwise) {
        this.bound = bound;
        this.otherwise = Objects.requireNonNull(otherwise, "otherwise");
    }

    /** Returns the policy with a bound of {@code bound} times the mean load, 1 or more. */
    public static PrefixAffinity of(double bound, RoutingPolicy otherwise) {
        if (!(bound >= 1)) {
            throw new IllegalArgumentException("bound: expected 1 or more, found " + bound);
        }
        return new PrefixAffinity(bound, otherwise);
    }

    @Override
    public Optional<Candidate> choose(RouteRequest request, List<Candidate> candidates) {
        if (request.affinityHash() == 0) {
            return otherwise.choose(request, candidates);
        }
        double[] loads = new double[candidates.size()];
        double limit = Math.min(FULL_LOAD, bound * meanLoad(request, candidates, loads));
        Candidate best = null;
        long bestRank = 0;
        for (int i = 0; i < loads.length; i++) {
            if (loads[i] > limit) {
                continue;
            }
            long rank = rank(request.affinityHash(), candidates.get(i));
            if (best == null || Long.compareUnsigned(rank, bestRank) > 0) {
                best = candidates.get(i);
                bestRank = rank;
            }
        }
        return best == null ? otherwise.choose(request, candidates) : Optional.of(best);
    }

    /** Fills in the loads, infinite for candidates that do not suit, and returns the mean of the others. */
    private static double meanLoad(RouteRequest request, List<Candidate> candidates, double[] loads) {
        double sum = 0;
        int count = 0;
        for (int i = 0; i < loads.length; i++) {
            loads[i] = Double.POSITIVE_INFINITY;
            if (candidates.get(i).suits(request)) {
                loads[i] = candidates.get(i).predictedLoad();
                sum += loads[i];
                count++;
            }
        }
        return count == 0 ? 0 : sum / count;
    }

    private static long rank(long affinityHash, Candidate candidate) {
        return mix(affinityHash ^ mix(candidate.instance().value().hashCode()));
    }

    /** The finalizer of SplitMix64, which spreads every input bit over the whole result. */
    private static long mix(long value) {
        long z = value + 0x9e3779b97f4a7c15L;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
