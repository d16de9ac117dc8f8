package coriandersill.routing;

import coriandersill.core.InstanceId;
import java.util.Map;

/** Ejects nothing. */
public final class NoOutlierDetection implements OutlierDetector {
    private NoOutlierDetection() {}

    /** Returns the detector. */
    public static NoOutlierDetection create() {
        return new NoOutlierDetection();
    }

    @Override
    public void record(InstanceId instance, RouteRequest request, CallResult result, long now) {
        // Results have no effect here.
    }

    @Override
    public Map<InstanceId, Double> reducedShares(RouteRequest request, long now) {
        return Map.of();
    }

    @Override
    public void removeInstance(InstanceId instance) {
        // There is nothing to forget.
    }
}
