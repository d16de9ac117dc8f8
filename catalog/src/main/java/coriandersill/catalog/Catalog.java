package coriandersill.catalog;

import coriandersill.core.ServiceName;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * One version of the declared configuration; immutable.
 *
 * <pre>{@code
 * Optional<RouteRule> route = catalog.route("api.example", "/drafts/7");
 * }</pre>
 *
 * @param version the version, which increases with each change
 * @param routesByHost the routes of each host, longest prefix first
 * @param services the services by name
 * @param workspacesByKey the workspace of each API key
 * @param keysRequired whether calls need an API key, except on routes where it is optional
 * @param limits the limits for callers' requests
 */
public record Catalog(
        long version,
        Map<String, List<RouteRule>> routesByHost,
        Map<ServiceName, ServiceDefinition> services,
        Map<String, WorkspaceDefinition> workspacesByKey,
        boolean keysRequired,
        CallLimits limits) {

    /** Copies the collections. */
    public Catalog {
        routesByHost = Map.copyOf(routesByHost);
        services = Map.copyOf(services);
        workspacesByKey = Map.copyOf(workspacesByKey);
    }

    /** Returns a catalog; the order of {@code routes} does not matter. */
    public static Catalog of(
            long version,
            List<RouteRule> routes,
            List<ServiceDefinition> services,
            Map<String, WorkspaceDefinition> workspacesByKey,
            boolean keysRequired,
            CallLimits limits) {
        Comparator<RouteRule> longestFirst = Comparator.comparingInt(
                        (RouteRule route) -> route.pathPrefix().length())
                .reversed();
        Map<String, List<RouteRule>> byHost = routes.stream()
                .sorted(longestFirst)
                .collect(Collectors.groupingBy(RouteRule::host, Collectors.toUnmodifiableList()));
        Map<ServiceName, ServiceDefinition> byName =
                services.stream().collect(Collectors.toMap(ServiceDefinition::name, Function.identity()));
        return new Catalog(version, byHost, byName, workspacesByKey, keysRequired, limits);
    }

    /** Returns the route of {@code host} with the longest prefix that matches {@code path}. */
    public Optional<RouteRule> route(String host, String path) {
        for (RouteRule route : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns the workspace to which an API key belongs. */
    public Optional<WorkspaceDefinition> workspace(String key) {
        return Optional.ofNullable(workspacesByKey.get(key));
    }

    /** Returns the declaration of a service. */
    public Optional<ServiceDefinition> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }
}
