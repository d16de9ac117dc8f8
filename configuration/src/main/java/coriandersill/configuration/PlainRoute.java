package coriandersill.configuration;

import coriandersill.core.RouteName;
import java.util.Objects;

/**
 * A route of a plain service.
 *
 * @param name the route's name in metrics and verdicts
 * @param method the HTTP method, or {@code *} for any
 * @param pathPrefix the prefix of the path below the service, beginning with a slash
 * @param repeatable whether the call may run more than once
 */
public record PlainRoute(RouteName name, String method, String pathPrefix, boolean repeatable) {

    /** Refuses null and a prefix without a slash. */
    public PlainRoute {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(method, "method");
        if (!pathPrefix.startsWith("/")) {
            throw new IllegalArgumentException(
                    "pathPrefix: expected a path that begins with \"/\", found \"" + pathPrefix + "\"");
        }
    }

    /** Whether the route takes a call with this method and path. */
    public boolean matches(String callMethod, String path) {
        return (method.equals("*") || method.equals(callMethod)) && path.startsWith(pathPrefix);
    }
}
