package coriandersill.configuration;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.core.WorkspaceName;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Creates small documents and change sets for tests. */
final class TestDocuments {
    static final Instant TIME = Instant.parse("2026-01-02T03:04:05Z");

    private TestDocuments() {}

    static ZoneDocument zone(String name, boolean inService) {
        return new ZoneDocument(AvailabilityZone.of(name), "shewa", inService);
    }

    static ServiceDocument service(String name, String current) {
        VersionCapacity capacity = new VersionCapacity(1, 8, 1000);
        return new ServiceDocument(
                ServiceName.of(name),
                ServiceKind.GENERATION,
                VersionName.of(current),
                Map.of(VersionName.of("v1"), capacity, VersionName.of("v2"), capacity),
                List.of());
    }

    static WorkspaceDocument workspace(String name, String service, String... keyIds) {
        return new WorkspaceDocument(
                WorkspaceName.of(name),
                Arrays.stream(keyIds)
                        .map(id -> new ApiKeyHash(id, "salt", "00"))
                        .toList(),
                Set.of(ServiceName.of(service)),
                1,
                10,
                100);
    }

    static RolloutDocument rollout(String service, String from, String to) {
        return new RolloutDocument(
                ServiceName.of(service),
                VersionName.of(from),
                VersionName.of(to),
                TIME,
                0.01,
                Duration.ofMinutes(5),
                new RolloutDocument.RegressionCriteria(2, 2, 2));
    }

    static ChangeSet change(String id, long basedOn, DocumentEdit... edits) {
        return ChangeSet.of(id, "author-" + id, "reason", TIME, basedOn, List.of(edits));
    }
}
