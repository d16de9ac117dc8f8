package coriandersill.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Prefers upstreams in the request's availability zone of origin, and spills over to other zones before the local ones
 * are overloaded.
 *
 * <p>As long as the load of the least loaded local upstream is below a threshold and exceeds that of the least loaded
 * remote one by at most a given difference, a delegate policy chooses among the local upstreams; otherwise it chooses
 * among all.
 */
public final class ZonePreference implements RoutingPolicy {
    private final double spilloverLoad;
    private final double spilloverLoadDifference;
    private final RoutingPolicy delegate;

    private ZonePreference(double spilloverLoad, double spilloverLoadDifference, RoutingPolicy delegate) {
        this.spilloverLoad = spilloverLoad;
        this.spilloverLoadDifference = spilloverLoadDifference;
        this.delegate = Objects.requireNonNull(delegate, "delegate");
    }

    /**
     * Creates the policy.
     *
     * @param spilloverLoad the predicted load of the least loaded local upstream from which all zones are considered,
     *     from 0 to 1
     * @param spilloverLoadDifference how far the load of the least loaded local upstream may exceed that in other
     *     zones, from 0 to 1
     * @param delegate chooses among the local upstreams, or among all of them
     */
    public static ZonePreference of(double spilloverLoad, double spilloverLoadDifference, RoutingPolicy delegate) {
        if (!(spilloverLoad >= 0
                && spilloverLoad <= 1
                && spilloverLoadDifference >= 0
                && spilloverLoadDifference <= 1)) {
            throw new IllegalArgumentException("expected spilloverLoad and spilloverLoadDifference from 0 to 1, found "
                    + spilloverLoad + " and " + spilloverLoadDifference);
        }
        return new ZonePreference(spilloverLoad, spilloverLoadDifference, delegate);
    }

    @Override
    public Optional<Candidate> choose(RouteRequest request, List<Candidate> candidates) {
        List<Candidate> local = new ArrayList<>(candidates.size());
        double leastLocal = Double.POSITIVE_INFINITY;
        double leastRemote = Double.POSITIVE_INFINITY;
        for (Candidate candidate : candidates) {
            if (!candidate.isEligibleFor(request)) {
                continue;
            }
            if (candidate.zone().equals(request.origin())) {
                local.add(candidate);
                leastLocal = Math.min(leastLocal, candidate.predictedLoad());
            } else {
                leastRemote = Math.min(leastRemote, candidate.predictedLoad());
            }
        }
        if (leastLocal < spilloverLoad && leastLocal <= leastRemote + spilloverLoadDifference) {
            return delegate.choose(request, local);
        }
        return delegate.choose(request, candidates);
    }
}
