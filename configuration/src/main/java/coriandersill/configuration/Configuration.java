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
 * The accepted documents as of one position of the configuration stream. Immutable.
 *
 * @param position the position of the last record included; -1 before the first
 * @param documents the documents by name
 */
public record Configuration(long position, Map<DocumentName, Document> documents) {

    /** Copies the documents; rejects null. */
    public Configuration {
        documents = Collections.unmodifiableMap(new HashMap<>(Objects.requireNonNull(documents, "documents")));
    }

    /** Returns the configuration before the first record of the stream. */
    public static Configuration empty() {
        return new Configuration(-1, Map.of());
    }

    /** Returns the document of a service, if the service is declared. */
    public Optional<ServiceDocument> service(ServiceName name) {
        return document(DocumentKind.SERVICE, name.value(), ServiceDocument.class);
    }

    /** Returns the document of a workspace, if the workspace is declared. */
    public Optional<WorkspaceDocument> workspace(WorkspaceName name) {
        return document(DocumentKind.WORKSPACE, name.value(), WorkspaceDocument.class);
    }

    /** Returns the document of an availability zone, if the zone is declared. */
    public Optional<ZoneDocument> zone(AvailabilityZone zone) {
        return document(DocumentKind.ZONE, zone.value(), ZoneDocument.class);
    }

    /** Returns the rollout of a service, if one is declared. */
    public Optional<RolloutDocument> rollout(ServiceName name) {
        return document(DocumentKind.ROLLOUT, name.value(), RolloutDocument.class);
    }

    private <T extends Document> Optional<T> document(DocumentKind kind, String name, Class<T> type) {
        return Optional.ofNullable(documents.get(DocumentName.of(kind, name))).map(type::cast);
    }
}
