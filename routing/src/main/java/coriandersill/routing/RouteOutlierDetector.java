package coriandersill.routing;

import coriandersill.core.InstanceId;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.routing.internal.PeerGroup;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Compares each upstream with its peers of the same version on the same route, by error rate and by latency.
 *
 * <p>An upstream that fails or is slow on one route is ejected from that route only. Errors or latency common to all
 * peers eject none of them. Not thread-safe; {@link Router} guards it.
 */
public final class RouteOutlierDetector implements OutlierDetector {
    private final OutlierSettings settings;
    private final Map<GroupKey, PeerGroup> groups = new HashMap<>();

    private RouteOutlierDetector(OutlierSettings settings) {
        this.settings = Objects.requireNonNull(settings, "settings");
    }

    /** Creates a detector without recorded calls. */
    public static RouteOutlierDetector of(OutlierSettings settings) {
        return new RouteOutlierDetector(settings);
    }

    @Override
    public void record(InstanceId instance, RouteRequest request, CallResult result, long nowNanos) {
        if (result.kind() == CallResult.Kind.OK || result.kind() == CallResult.Kind.FAILED) {
            groups.computeIfAbsent(GroupKey.of(request), key -> new PeerGroup(settings))
                    .record(instance, result, nowNanos);
        }
    }

    @Override
    public Map<InstanceId, Double> reducedShares(RouteRequest request, long nowNanos) {
        PeerGroup group = groups.get(GroupKey.of(request));
        return group == null ? Map.of() : group.reducedShares(nowNanos);
    }

    @Override
    public void removeInstance(InstanceId instance) {
        groups.values().forEach(group -> group.remove(instance));
        groups.values().removeIf(PeerGroup::isEmpty);
    }

    /** Identifies a group of upstreams that are compared with each other. */
    private record GroupKey(ServiceName service, VersionName version, RouteName route) {
        private static GroupKey of(RouteRequest request) {
            return new GroupKey(request.service(), request.version(), request.route());
        }
    }
}
