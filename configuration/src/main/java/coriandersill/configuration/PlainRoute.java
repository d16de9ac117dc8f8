package coriandersill.configuration;

import coriandersill.core.RouteName;
import java.util.Objects;

/**
 * A route of a service that answers plain HTTP calls.
 *
 * @param name the route's name, used in metrics and rollout evaluation
 * @param method the HTTP method, or {@code *} for any
 * @param pathPrefix the prefix of the path, relative to the service, starting with a slash
 * @param repeatable whether calls are idempotent, so that a call may be executed more than once
 */
public record PlainRoute(RouteName name, String method, String pathPrefix, boolean repeatable) {

    /** Rejects null and a path prefix that does not start with a slash. */
    public PlainRoute {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(method, "method");
        if (!pathPrefix.startsWith("/")) {
            throw new IllegalArgumentException(
                    "pathPrefix: expected a path that begins with \"/\", found \"" + pathPrefix + "\"");
        }
    }

    /** Returns whether the route matches a call with the given method and path. */
    public boolean matches(String callMethod, String path) {
        return (method.equals("*") || method.equals(callMethod)) && path.startsWith(pathPrefix);
    }
}
