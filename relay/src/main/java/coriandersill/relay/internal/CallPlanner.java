package coriandersill.relay.internal;

import coriandersill.catalog.Catalog;
import coriandersill.catalog.CatalogTable;
import coriandersill.catalog.RouteRule;
import coriandersill.catalog.ServiceDefinition;
import coriandersill.catalog.TrafficShare;
import coriandersill.catalog.WorkspaceDefinition;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.relay.CallRequest;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Determines a call's route, workspace, service and time limit from the newest catalog. */
final class CallPlanner {
    /** The limit that applies until the first catalog is known. */
    static final long DEFAULT_MAX_BODY_BYTES = 4L * 1024 * 1024;

    private final CatalogTable catalogs;
    private final Duration maxCatalogAge;
    private final UrgencyRule urgencyRule;
    private final RandomGenerator random;

    CallPlanner(CatalogTable catalogs, Duration maxCatalogAge, UrgencyRule urgencyRule, RandomGenerator random) {
        this.catalogs = catalogs;
        this.maxCatalogAge = maxCatalogAge;
        this.urgencyRule = urgencyRule;
        this.random = random;
    }

    /**
     * Returns the plan of a call.
     *
     * @throws CallFailure UNAVAILABLE if there is no catalog, NOT_FOUND if no route matches, UNAUTHENTICATED if the API
     *     key is missing or unknown; UNAVAILABLE instead of the last two if the catalog is stale
     */
    CallPlan plan(CallRequest request) {
        Catalog catalog = catalogs.newest()
                .orElseThrow(() -> CallFailure.of(ErrorKind.UNAVAILABLE, "no configuration is known yet"));
        RouteRule route = catalog.route(request.host(), request.path())
                .orElseThrow(
                        () -> lookupFailure(ErrorKind.NOT_FOUND, "no route for " + request.host() + request.path()));
        Optional<WorkspaceDefinition> workspace = request.apiKey().flatMap(catalog::workspace);
        if (catalog.keysRequired() && !route.keyOptional() && workspace.isEmpty()) {
            throw lookupFailure(ErrorKind.UNAUTHENTICATED, "no workspace holds the key");
        }
        ServiceDefinition service = selectService(catalog, route);
        Duration timeLimit = request.timeout()
                .filter(timeout -> timeout.compareTo(route.timeout()) < 0)
                .orElse(route.timeout());
        return new CallPlan(
                request,
                route,
                service,
                workspace.map(WorkspaceDefinition::name),
                urgencyRule.rank(route, workspace),
                timeLimit,
                catalog.version());
    }

    /** Returns the maximum size of a request body in bytes. */
    long maxBodyBytes() {
        return catalogs.newest().map(catalog -> catalog.limits().maxBodyBytes()).orElse(DEFAULT_MAX_BODY_BYTES);
    }

    /**
     * Returns the failure for an unknown key or route. It is UNAVAILABLE if the catalog is stale, since the key or
     * route may have been added in the meantime.
     */
    private CallFailure lookupFailure(ErrorKind kind, String message) {
        Duration age = catalogs.age();
        if (age.compareTo(maxCatalogAge) > 0) {
            return CallFailure.of(
                    ErrorKind.UNAVAILABLE, message + ", by a configuration confirmed " + age.toMillis() + " ms ago");
        }
        return CallFailure.of(kind, message);
    }

    /**
     * Selects a service at random by weight, or the first one if all weights are 0. A service that the catalog does not
     * declare is treated as a plain service without a limit for cold starts.
     */
    private ServiceDefinition selectService(Catalog catalog, RouteRule route) {
        List<TrafficShare> shares = route.shares();
        int total = shares.stream().mapToInt(TrafficShare::weight).sum();
        int draw = total <= 0 ? 0 : random.nextInt(total);
        for (TrafficShare share : shares) {
            draw -= share.weight();
            if (draw < 0 || total <= 0) {
                return catalog.service(share.service())
                        .orElseGet(() -> ServiceDefinition.of(share.service(), 0, Optional.empty()));
            }
        }
        throw CallFailure.of(ErrorKind.UNAVAILABLE, "route " + route.name() + " has no service");
    }
}
