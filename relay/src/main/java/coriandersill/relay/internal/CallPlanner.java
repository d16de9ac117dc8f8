package coriandersill.relay.internal;

import coriandersill.catalog.Catalog;
import coriandersill.catalog.CatalogTable;
import coriandersill.catalog.RouteRule;
import coriandersill.catalog.ServiceRule;
import coriandersill.catalog.TrafficShare;
import coriandersill.catalog.WorkspaceRule;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.WorkspaceName;
import coriandersill.relay.CallRequest;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Decides what a call may do by the newest catalog: its route, workspace, service and time. */
final class CallPlanner {
    /** Holds until the first catalog is known. */
    private static final long DEFAULT_BODY_BYTES = 4L * 1024 * 1024;

    private final CatalogTable catalogs;
    private final Duration catalogLifetime;
    private final RandomGenerator random;

    CallPlanner(CatalogTable catalogs, Duration catalogLifetime, RandomGenerator random) {
        this.catalogs = catalogs;
        this.catalogLifetime = catalogLifetime;
        this.random = random;
    }

    /**
     * Returns the plan.
     *
     * @throws CallFailure UNAVAILABLE without a catalog, NOT_FOUND without a route, UNAUTHENTICATED without a known key
     */
    CallPlan plan(CallRequest request) {
        Catalog catalog = catalogs.newest()
                .orElseThrow(() -> CallFailure.of(ErrorKind.UNAVAILABLE, "no configuration is known yet"));
        RouteRule route = catalog.route(request.host(), request.path())
                .orElseThrow(() -> unknown(ErrorKind.NOT_FOUND, "no route for " + request.host() + request.path()));
        Optional<WorkspaceName> workspace =
                request.apiKey().flatMap(catalog::workspace).map(WorkspaceRule::name);
        if (catalog.keysRequired() && !route.open() && workspace.isEmpty()) {
            throw unknown(ErrorKind.UNAUTHENTICATED, "no workspace holds the key");
        }
        ServiceRule service = service(catalog, route);
        Duration allowed = request.deadline()
                .filter(deadline -> deadline.compareTo(route.timeout()) < 0)
                .orElse(route.timeout());
        return new CallPlan(request, route, service, workspace, allowed, catalog.version());
    }

    /** The largest body that a caller may send. */
    long largestBody() {
        return catalogs.newest().map(catalog -> catalog.limits().bodyBytes()).orElse(DEFAULT_BODY_BYTES);
    }

    /** A key or route that an old catalog does not have may have been added since: the call is not refused for good. */
    private CallFailure unknown(ErrorKind kind, String message) {
        Duration age = catalogs.age();
        if (age.compareTo(catalogLifetime) > 0) {
            return CallFailure.of(
                    ErrorKind.UNAVAILABLE, message + ", by a configuration confirmed " + age.toMillis() + " ms ago");
        }
        return CallFailure.of(kind, message);
    }

    private ServiceRule service(Catalog catalog, RouteRule route) {
        List<TrafficShare> shares = route.shares();
        int total = shares.stream().mapToInt(TrafficShare::weight).sum();
        int draw = total <= 0 ? 0 : random.nextInt(total);
        for (TrafficShare share : shares) {
            draw -= share.weight();
            if (draw < 0 || total <= 0) {
                return catalog.service(share.service())
                        .orElseGet(() -> new ServiceRule(share.service(), 0, Optional.empty()));
            }
        }
        throw CallFailure.of(ErrorKind.UNAVAILABLE, "route " + route.name() + " has no service");
    }
}
