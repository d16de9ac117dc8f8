package coriandersill.bench.configuration;

import coriandersill.configuration.AcceptedState;
import coriandersill.configuration.ApiKeyHash;
import coriandersill.configuration.ChangeSet;
import coriandersill.configuration.ConfigurationState;
import coriandersill.configuration.ConfigurationStateMachine;
import coriandersill.configuration.Document;
import coriandersill.configuration.DocumentEdit;
import coriandersill.configuration.ServiceDocument;
import coriandersill.configuration.ServiceKind;
import coriandersill.configuration.StandardRule;
import coriandersill.configuration.VersionCapacity;
import coriandersill.configuration.WorkspaceDocument;
import coriandersill.configuration.ZoneDocument;
import coriandersill.core.AvailabilityZone;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.core.WorkspaceName;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Generates a configuration of 3,000 documents, and changes of one workspace document each. */
final class SampleConfiguration {
    private static final int SERVICES = 188;
    private static final int WORKSPACES = 2_800;
    private static final int ZONES = 12;
    private static final int EDITED_WORKSPACES = 150;
    private static final int EDITS_PER_CHANGE = 100;

    private SampleConfiguration() {}

    /** Returns the change sets that create all documents. */
    static List<ChangeSet> initialChanges() {
        List<Document> documents = new ArrayList<>();
        for (int i = 0; i < ZONES; i++) {
            documents.add(new ZoneDocument(AvailabilityZone.of("zone-" + i), "region-" + i % 5, true));
        }
        for (int i = 0; i < SERVICES; i++) {
            documents.add(service(i));
        }
        for (int i = 0; i < WORKSPACES; i++) {
            documents.add(workspace(i, 10));
        }
        List<ChangeSet> changes = new ArrayList<>();
        for (int from = 0; from < documents.size(); from += EDITS_PER_CHANGE) {
            List<DocumentEdit> edits =
                    documents.subList(from, Math.min(documents.size(), from + EDITS_PER_CHANGE)).stream()
                            .map(document -> DocumentEdit.put(document, -1))
                            .toList();
            changes.add(ChangeSet.of("initial-" + from, "almaz", "first agreement", Instant.EPOCH, from - 1, edits));
        }
        return changes;
    }

    /** Returns the state after the initial changes. */
    static ConfigurationState initialState() {
        ConfigurationStateMachine stateMachine = ConfigurationStateMachine.of(StandardRule.all());
        ConfigurationState state = ConfigurationState.initial();
        List<ChangeSet> changes = initialChanges();
        for (int i = 0; i < changes.size(); i++) {
            state = stateMachine.apply(state, i, changes.get(i)).state();
        }
        return state;
    }

    /** Returns the change with this number; successive changes cycle through a fixed set of workspaces. */
    static ChangeSet change(AcceptedState state, int number) {
        WorkspaceDocument document = workspace(number % EDITED_WORKSPACES, 11 + number);
        DocumentEdit edit = DocumentEdit.put(document, state.version(document.documentName()));
        return ChangeSet.of(
                "change-" + number, "almaz", "new cap by agreement", Instant.EPOCH, state.position(), List.of(edit));
    }

    private static ServiceDocument service(int number) {
        VersionCapacity capacity = new VersionCapacity(2, 32, 200_000);
        return new ServiceDocument(
                ServiceName.of("service-" + number),
                ServiceKind.GENERATION,
                VersionName.of("v1"),
                Map.of(VersionName.of("v1"), capacity, VersionName.of("v2"), capacity),
                List.of());
    }

    private static WorkspaceDocument workspace(int number, int maxConcurrency) {
        ApiKeyHash key = new ApiKeyHash("key-" + number, "salt-" + number, "0123456789abcdef".repeat(4));
        Set<ServiceName> services = Set.of(
                ServiceName.of("service-" + number % SERVICES), ServiceName.of("service-" + (number + 1) % SERVICES));
        return new WorkspaceDocument(
                WorkspaceName.of("workspace-" + number), List.of(key), services, 1, maxConcurrency, 5_000);
    }
}
