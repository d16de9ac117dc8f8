package coriandersill.routing;

import coriandersill.core.InstanceId;
import java.util.Map;

/** Never ejects an upstream. */
public final class NoOutlierDetection implements OutlierDetector {
    private NoOutlierDetection() {}

    /** Creates the detector. */
    public static NoOutlierDetection create() {
        return new NoOutlierDetection();
    }

    @Override
    public void record(InstanceId instance, RouteRequest request, CallResult result, long nowNanos) {
        // Results are not used.
    }

    @Override
    public Map<InstanceId, Double> reducedShares(RouteRequest request, long nowNanos) {
        return Map.of();
    }

    @Override
    public void removeInstance(InstanceId instance) {
        // No state is kept.
    }
}
