package coriandersill.configuration;

import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * A service that callers send requests to, with its versions and routes.
 *
 * @param name the name of the service
 * @param kind whether it generates tokens or answers plain HTTP calls
 * @param current the version that serves when no rollout is in progress
 * @param versions the capacity of one upstream of each version
 * @param routes the routes of a service of kind {@link ServiceKind#PLAIN}, of which the first match applies; empty for
 *     one of kind {@link ServiceKind#GENERATION}
 */
public record ServiceDocument(
        ServiceName name,
        ServiceKind kind,
        VersionName current,
        Map<VersionName, VersionCapacity> versions,
        List<PlainRoute> routes)
        implements Document {

    /** Copies the collections; rejects null. */
    public ServiceDocument {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(current, "current");
        versions = Map.copyOf(versions);
        routes = List.copyOf(routes);
    }

    @Override
    public DocumentName documentName() {
        return DocumentName.of(DocumentKind.SERVICE, name.value());
    }
}
