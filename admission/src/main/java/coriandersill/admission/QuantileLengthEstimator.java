package coriandersill.admission;

import coriandersill.core.RouteName;
import coriandersill.core.VersionName;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learns the hazard of each length bucket: the probability that a generation that reaches the bucket ends in it.
 *
 * <pre>{@code
 * LengthEstimator estimator = QuantileLengthEstimator.create();
 * int likely = estimator.remaining(key, generated).quantile(0.9);
 * }</pre>
 *
 * <p>Counts are kept per workspace, route and version, per route and version, and globally. A group with few
 * observations falls back on the next coarser one as its prior, and the global group on an exponential distribution
 * with a fixed mean. Each count decays with the observations of its own bucket, so that an estimate follows a shift
 * within {@code windowGenerations} generations that pass through the bucket. The number of workspace groups is bounded;
 * the least recently used one is evicted first.
 *
 * <p>Not thread-safe; see {@link LengthEstimator}.
 */
public final class QuantileLengthEstimator implements LengthEstimator {
    /** The weight of the coarser group's estimate, as a number of observations. */
    private static final double PRIOR_STRENGTH = 8;

    /** Enough for 2,800 workspaces with 13 models each, where a model is one pair of version and route. */
    private static final int DEFAULT_MAX_GROUPS = 2_800 * 13;

    private static final int DEFAULT_WINDOW_GENERATIONS = 64;
    private static final int PRIOR_MEAN_TOKENS = 512;
    private static final double[] PRIOR_HAZARDS = priorHazards();

    private final float decay;
    private final HazardTable globalTable = new HazardTable();
    private final Map<RouteKey, HazardTable> routeTables = new HashMap<>();
    private final Map<LengthKey, HazardTable> workspaceTables;

    private QuantileLengthEstimator(int windowGenerations, int maxGroups) {
        this.decay = 1 - 1f / windowGenerations;
        this.workspaceTables = new LruMap(maxGroups);
    }

    /** Creates an estimator that follows a shift within 64 generations and keeps up to 36,400 workspace groups. */
    public static QuantileLengthEstimator create() {
        return of(DEFAULT_WINDOW_GENERATIONS, DEFAULT_MAX_GROUPS);
    }

    /**
     * Creates an estimator.
     *
     * @param windowGenerations the number of generations within which an estimate follows a shift, at least 2
     * @param maxGroups the maximum number of workspace groups, at least 1
     */
    public static QuantileLengthEstimator of(int windowGenerations, int maxGroups) {
        if (windowGenerations < 2 || maxGroups < 1) {
            throw new IllegalArgumentException("length estimator: expected windowGenerations >= 2 and maxGroups >= 1,"
                    + " found " + windowGenerations + " and " + maxGroups);
        }
        return new QuantileLengthEstimator(windowGenerations, maxGroups);
    }

    @Override
    public RemainingLength remaining(LengthKey key, int generated) {
        HazardTable route = routeTables.get(RouteKey.of(key));
        HazardTable workspace = workspaceTables.get(key);
        double[] hazards = new double[LengthBuckets.COUNT];
        for (int i = LengthBuckets.index(generated); i < hazards.length; i++) {
            double hazard = globalTable.hazard(i, PRIOR_HAZARDS[i], PRIOR_STRENGTH);
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
        HazardTable route = routeTables.computeIfAbsent(RouteKey.of(key), unused -> new HazardTable());
        HazardTable workspace = workspaceTables.computeIfAbsent(key, unused -> new HazardTable());
        for (int i = first; i < last; i++) {
            count(i, false, route, workspace);
        }
        if (ended) {
            count(last, true, route, workspace);
        }
    }

    /** Returns the current number of workspace groups. */
    public int groupCount() {
        return workspaceTables.size();
    }

    /** Returns the size of the counts of one group in bytes, excluding its key. */
    public static int bytesPerGroup() {
        return HazardTable.BYTES;
    }

    private void count(int bucket, boolean end, HazardTable route, HazardTable workspace) {
        globalTable.count(bucket, end, decay);
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

    private static final class LruMap extends LinkedHashMap<LengthKey, HazardTable> {
        private static final long serialVersionUID = 1L;

        private final int maxEntries;

        LruMap(int maxEntries) {
            super(16, 0.75f, true);
            this.maxEntries = maxEntries;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<LengthKey, HazardTable> eldest) {
            return size() > maxEntries;
        }
    }
}
