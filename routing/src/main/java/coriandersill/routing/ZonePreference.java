package coriandersill.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Prefers upstreams in the entry's own availability zone, and yields before they are overloaded.
 *
 * <p>The preference holds while the least loaded local upstream is below a stated load and at most a stated amount
 * above the least loaded one elsewhere; then another policy chooses among the local ones, else among all.
 */
public final class ZonePreference implements RoutingPolicy {
    private final double yieldLoad;
    private final double yieldDifference;
    private final RoutingPolicy chooser;

    private ZonePreference(double yieldLoad, double yieldDifference, RoutingPolicy chooser) {
        this.yieldLoad = yieldLoad;
        this.yieldDifference = yieldDifference;
        this.chooser = Objects.requireNonNull(chooser, "chooser");
    }

    /**
     * Returns the policy.
     *
     * @param yieldLoad the predicted load of the least loaded local upstream from which all are considered, from 0 to 1
     * @param yieldDifference how much more loaded than elsewhere local upstreams may be, from 0 to 1
     * @param chooser who chooses among the upstreams that are left
     */
    public static ZonePreference of(double yieldLoad, double yieldDifference, RoutingPolicy chooser) {
        if (!(yieldLoad >= 0 && yieldLoad <= 1 && yieldDifference >= 0 && yieldDifference <= 1)) {
            throw new IllegalArgumentException("expected yieldLoad and yieldDifference from 0 to 1, found " + yieldLoad
                    + " and " + yieldDifference);
        }
        return new ZonePreference(yieldLoad, yieldDifference, chooser);
    }

    @Override
    public Optional<Candidate> choose(RouteRequest request, List<Candidate> candidates) {
        List<Candidate> local = new ArrayList<>(candidates.size());
        double leastLocal = Double.POSITIVE_INFINITY;
        double leastRemote = Double.POSITIVE_INFINITY;
        for (Candidate candidate : candidates) {
            if (!candidate.suits(request)) {
                continue;
            }
            if (candidate.zone().equals(request.origin())) {
                local.add(candidate);
                leastLocal = Math.min(leastLocal, candidate.predictedLoad());
            } else {
                leastRemote = Math.min(leastRemote, candidate.predictedLoad());
            }
        }
        if (leastLocal < yieldLoad && leastLocal <= leastRemote + yieldDifference) {
            return chooser.choose(request, local);
        }
        return chooser.choose(request, candidates);
    }
}
