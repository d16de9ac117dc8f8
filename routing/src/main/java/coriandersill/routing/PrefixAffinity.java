package coriandersill.routing;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Sends calls with the same prompt prefix to the same upstream as long as its load is at most a given multiple of the
 * mean load and at most 1.
 *
 * <p>Uses rendezvous hashing with bounded loads: every entry ranks the upstreams for a prefix in the same order, and
 * adding or removing an upstream only moves the calls that it gains or loses. Calls without a prefix, and calls for
 * which every candidate exceeds the bound, are routed by a fallback policy.
 */
public final class PrefixAffinity implements RoutingPolicy {
    /** The predicted load of an upstream at its concurrency limit or with its memory in full use. */
    private static final double FULL_LOAD = 1;

    private final double maxLoadFactor;
    private final RoutingPolicy fallback;

    private PrefixAffinity(double maxLoadFactor, RoutingPolicy fallback) {
        this.maxLoadFactor = maxLoadFactor;
        this.fallback = Objects.requireNonNull(fallback, "fallback");
    }

    /** Creates a policy that bounds the load at {@code maxLoadFactor}, at least 1, times the mean load. */
    public static PrefixAffinity of(double maxLoadFactor, RoutingPolicy fallback) {
        if (!(maxLoadFactor >= 1)) {
            throw new IllegalArgumentException("maxLoadFactor: expected 1 or more, found " + maxLoadFactor);
        }
        return new PrefixAffinity(maxLoadFactor, fallback);
    }

    @Override
    public Optional<Candidate> choose(RouteRequest request, List<Candidate> candidates) {
        if (request.affinityHash() == 0) {
            return fallback.choose(request, candidates);
        }
        double[] loads = new double[candidates.size()];
        double maxLoad = Math.min(FULL_LOAD, maxLoadFactor * meanLoad(request, candidates, loads));
        Candidate best = null;
        long bestRank = 0;
        for (int i = 0; i < loads.length; i++) {
            if (loads[i] > maxLoad) {
                continue;
            }
            long rank = rank(request.affinityHash(), candidates.get(i));
            if (best == null || Long.compareUnsigned(rank, bestRank) > 0) {
                best = candidates.get(i);
                bestRank = rank;
            }
        }
        return best == null ? fallback.choose(request, candidates) : Optional.of(best);
    }

    /** Fills in the loads, infinite for ineligible candidates, and returns the mean over the eligible ones. */
    private static double meanLoad(RouteRequest request, List<Candidate> candidates, double[] loads) {
        double sum = 0;
        int count = 0;
        for (int i = 0; i < loads.length; i++) {
            loads[i] = Double.POSITIVE_INFINITY;
            if (candidates.get(i).isEligibleFor(request)) {
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

    /** The finalizer of SplitMix64: every input bit affects all output bits. */
    private static long mix(long value) {
        long z = value + 0x9e3779b97f4a7c15L;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
