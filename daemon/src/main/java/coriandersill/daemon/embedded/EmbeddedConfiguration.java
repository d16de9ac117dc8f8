package coriandersill.daemon.embedded;

import coriandersill.configuration.ApiKeyHash;
import coriandersill.configuration.ChangeSet;
import coriandersill.configuration.Document;
import coriandersill.configuration.DocumentEdit;
import coriandersill.configuration.PlainRoute;
import coriandersill.configuration.ServiceDocument;
import coriandersill.configuration.ServiceKind;
import coriandersill.configuration.StreamPosition;
import coriandersill.configuration.VersionCapacity;
import coriandersill.configuration.WorkspaceDocument;
import coriandersill.configuration.ZoneDocument;
import coriandersill.core.AvailabilityZone;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.core.WorkspaceName;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The configuration documents of an embedded cluster. */
final class EmbeddedConfiguration {
    static final VersionName INITIAL_VERSION = VersionName.of("v1");
    static final VersionName NEXT_VERSION = VersionName.of("v2");
    static final String API_KEY = "quickstart.secret";
    private static final long ENGINE_MEMORY_TOKENS = 50_000_000;

    private EmbeddedConfiguration() {}

    static AvailabilityZone zone(EmbeddedClusterSettings settings, int index) {
        return AvailabilityZone.of("zone-" + (char) ('a' + index % settings.zones()));
    }

    /** Returns the change set that creates all documents. */
    static ChangeSet initialChangeSet(EmbeddedClusterSettings settings) {
        List<Document> documents = new ArrayList<>();
        documents.add(service(
                EmbeddedCluster.GENERATION_SERVICE, ServiceKind.GENERATION, settings, ENGINE_MEMORY_TOKENS, List.of()));
        documents.add(service(
                EmbeddedCluster.PLAIN_SERVICE,
                ServiceKind.PLAIN,
                settings,
                0,
                List.of(
                        new PlainRoute(RouteName.of("lookup"), "GET", "/", true),
                        new PlainRoute(RouteName.of("change"), "*", "/", false))));
        documents.add(new WorkspaceDocument(
                WorkspaceName.of("quickstart"),
                List.of(ApiKeyHash.of(API_KEY, "salt")),
                Set.of(EmbeddedCluster.GENERATION_SERVICE, EmbeddedCluster.PLAIN_SERVICE),
                1.0,
                100_000,
                10_000_000));
        for (int i = 0; i < settings.zones(); i++) {
            documents.add(new ZoneDocument(zone(settings, i), "local", true));
        }
        List<DocumentEdit> edits = documents.stream()
                .map(document -> DocumentEdit.put(document, StreamPosition.NONE))
                .toList();
        return ChangeSet.of(
                "first", "quickstart", "the set's first documents", Instant.now(), StreamPosition.NONE, edits);
    }

    private static ServiceDocument service(
            ServiceName name,
            ServiceKind kind,
            EmbeddedClusterSettings settings,
            long memoryTokens,
            List<PlainRoute> routes) {
        VersionCapacity capacity =
                new VersionCapacity(settings.coldConcurrency(), settings.maxConcurrency(), memoryTokens);
        return new ServiceDocument(
                name, kind, INITIAL_VERSION, Map.of(INITIAL_VERSION, capacity, NEXT_VERSION, capacity), routes);
    }
}
