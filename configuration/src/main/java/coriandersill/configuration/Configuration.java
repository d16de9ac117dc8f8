package coriandersill.configuration;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.ServiceName;
import coriandersill.core.WorkspaceName;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The accepted documents at one point of the configuration stream, immutable.
 *
 * @param position the offset of the last record of the stream that is part of it; -1 before the first
 * @param documents the documents by name
 */
public record Configuration(long position, Map<DocumentName, Document> documents) {

    /** Copies the documents; refuses null. */
    public Configuration {
        documents = Collections.unmodifiableMap(new HashMap<>(Objects.requireNonNull(documents, "documents")));
    }

    /** Returns the configuration before the first record. */
    public static Configuration empty() {
        return new Configuration(-1, Map.of());
    }

    /** Returns the service's document, if it is declared. */
    public Optional<ServiceDocument> service(ServiceName name) {
        return find(DocumentKind.SERVICE, name.value(), ServiceDocument.class);
    }

    /** Returns the workspace's document, if it is declared. */
    public Optional<WorkspaceDocument> workspace(WorkspaceName name) {
        return find(DocumentKind.WORKSPACE, name.value(), WorkspaceDocument.class);
    }

    /** Returns the availability zone's document, if it is declared. */
    public Optional<ZoneDocument> zone(AvailabilityZone zone) {
        return find(DocumentKind.ZONE, zone.value(), ZoneDocument.class);
    }

    /** Returns the service's rollout, if one is declared. */
    public Optional<RolloutDocument> rollout(ServiceName name) {
        return find(DocumentKind.ROLLOUT, name.value(), RolloutDocument.class);
    }

    private <T extends Document> Optional<T> find(DocumentKind kind, String name, Class<T> type) {
        return Optional.ofNullable(documents.get(DocumentName.of(kind, name))).map(type::cast);
    }
}
