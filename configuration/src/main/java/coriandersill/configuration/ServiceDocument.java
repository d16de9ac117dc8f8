package coriandersill.configuration;

import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * A service that callers address, with its versions and routes.
 *
 * @param name the service
 * @param kind whether it generates tokens or answers plain calls
 * @param current the version that serves when no rollout is under way
 * @param versions what one upstream of each version bears
 * @param routes the routes of a plain service, first match wins; empty for a generating one
 */
public record ServiceDocument(
        ServiceName name,
        ServiceKind kind,
        VersionName current,
        Map<VersionName, VersionCapacity> versions,
        List<PlainRoute> routes)
        implements Document {

    /** Copies the collections; refuses null. */
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
