package coriandersill.admission;

import coriandersill.core.RouteName;
import coriandersill.core.VersionName;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learns, for each length bucket, the probability that a generation which reached it ends in it.
 *
 * <pre>{@code
 * LengthEstimator estimator = QuantileLengthEstimator.create();
 * int likely = estimator.remaining(key, generated).quantile(0.9);
 * }</pre>
 *
 * <p>Counts are kept by workspace, route and version, by route and version, and over all. A group with few observations
 * leans on the next coarser one, the coarsest on a fixed mean. Each count decays with the observations of its own
 * bucket, so that an estimate follows a shift within {@code memoryGenerations} generations that pass through it. Groups
 * of workspaces are bounded in number; the least recently used one goes first.
 *
 * <p>Not safe for use by many threads; see {@link LengthEstimator}.
 */
public final class QuantileLengthEstimator implements LengthEstimator {
    /** The observations that a coarser group's estimate is worth. */
    private static final double PRIOR_STRENGTH = 8;

    private static final int DEFAULT_GROUPS = 2_800 * 13;
    private static final int DEFAULT_MEMORY_GENERATIONS = 64;
    private static final int PRIOR_MEAN_TOKENS = 512;
    private static final double[] PRIOR = priorHazards();

    private final float decay;
    private final HazardTable all = new HazardTable();
    private final Map<RouteKey, HazardTable> routes = new HashMap<>();
    private final Map<LengthKey, HazardTable> workspaces;

    private QuantileLengthEstimator(int memoryGenerations, int maxGroups) {
        this.decay = 1 - 1f / memoryGenerations;
        this.workspaces = new LeastRecentlyUsed(maxGroups);
    }

    /** Returns an estimator that follows a shift within 64 generations and holds up to 36,400 groups. */
    public static QuantileLengthEstimator create() {
        return of(DEFAULT_MEMORY_GENERATIONS, DEFAULT_GROUPS);
    }

    /** Returns an estimator with the given memory, 2 or more, and bound on groups of workspaces, 1 or more. */
    public static QuantileLengthEstimator of(int memoryGenerations, int maxGroups) {
        if (memoryGenerations < 2 || maxGroups < 1) {
            throw new IllegalArgumentException("length estimator: expected memoryGenerations >= 2 and maxGroups >= 1,"
                    + " found " + memoryGenerations + " and " + maxGroups);
        }
        return new QuantileLengthEstimator(memoryGenerations, maxGroups);
    }

    @Override
    public RemainingLength remaining(LengthKey key, int generated) {
        HazardTable route = routes.get(RouteKey.of(key));
        HazardTable workspace = workspaces.get(key);
        double[] hazards = new double[LengthBuckets.COUNT];
        for (int i = LengthBuckets.index(generated); i < hazards.length; i++) {
            double hazard = all.hazard(i, PRIOR[i], PRIOR_STRENGTH);
            if (route != null) {
                hazard = route.hazard(i, hazard, PRIOR_STRENGTH);
            }
            if (workspace != null) {
                hazard = workspace.hazard(i, hazard, PRIOR_STRENGTH);
            }
            hazards[i] = hazard;
        }
        return BucketSurvival.after(generated, hazards);
    }

    @Override
    public void observe(LengthKey key, int from, int to, boolean ended) {
        int first = LengthBuckets.index(from);
        int last = LengthBuckets.index(to);
        if (first == last && !ended) {
            return;
        }
        HazardTable route = routes.computeIfAbsent(RouteKey.of(key), unused -> new HazardTable());
        HazardTable workspace = workspaces.computeIfAbsent(key, unused -> new HazardTable());
        for (int i = first; i < last; i++) {
            count(i, false, route, workspace);
        }
        if (ended) {
            count(last, true, route, workspace);
        }
    }

    /** The number of groups of workspaces held now. */
    public int groupCount() {
        return workspaces.size();
    }

    /** The bytes of counts that one group holds, without its key. */
    public static int bytesPerGroup() {
        return HazardTable.BYTES;
    }

    private void count(int bucket, boolean end, HazardTable route, HazardTable workspace) {
        all.count(bucket, end, decay);
        route.count(bucket, end, decay);
        workspace.count(bucket, end, decay);
    }

    private static double[] priorHazards() {
        double[] hazards = new double[LengthBuckets.COUNT];
        for (int i = 0; i < hazards.length; i++) {
            hazards[i] = 1 - Math.exp(-(double) LengthBuckets.width(i) / PRIOR_MEAN_TOKENS);
        }
        return hazards;
    }

    private record RouteKey(VersionName version, RouteName route) {
        static RouteKey of(LengthKey key) {
            return new RouteKey(key.version(), key.route());
        }
    }

    private static final class LeastRecentlyUsed extends LinkedHashMap<LengthKey, HazardTable> {
        private static final long serialVersionUID = 1L;

        private final int bound;

        LeastRecentlyUsed(int bound) {
            super(16, 0.75f, true);
            this.bound = bound;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<LengthKey, HazardTable> eldest) {
            return size() > bound;
        }
    }
}
