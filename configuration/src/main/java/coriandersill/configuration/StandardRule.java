package coriandersill.configuration;

import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** The rules between documents that hold in every configuration. */
public enum StandardRule implements ConfigurationValidator {
    /** A workspace uses only services that are declared. */
    WORKSPACE_SERVICES_EXIST {
        @Override
        void collect(AcceptedState candidate, Set<DocumentName> changed, List<Problem> problems) {
            boolean serviceDeleted = ofKind(changed, DocumentKind.SERVICE)
                    .anyMatch(name -> !candidate.documents().containsKey(name));
            Stream<WorkspaceDocument> affected = serviceDeleted
                    ? every(candidate, WorkspaceDocument.class)
                    : changed(candidate, changed, WorkspaceDocument.class);
            affected.forEach(workspace -> workspace.services().stream()
                    .filter(service -> find(candidate, service).isEmpty())
                    .sorted()
                    .forEach(service -> problems.add(
                            Problem.of(workspace.documentName(), "services", "declared services", quoted(service)))));
        }
    },
    /** The current version of a service is one of its versions. */
    CURRENT_VERSION_EXISTS {
        @Override
        void collect(AcceptedState candidate, Set<DocumentName> changed, List<Problem> problems) {
            changed(candidate, changed, ServiceDocument.class)
                    .filter(service -> !service.versions().containsKey(service.current()))
                    .forEach(service -> problems.add(
                            Problem.of(service.documentName(), "current", oneOf(service), quoted(service.current()))));
        }
    },
    /** A rollout names a declared service and two different versions of it. */
    ROLLOUT_VERSIONS_EXIST {
        @Override
        void collect(AcceptedState candidate, Set<DocumentName> changed, List<Problem> problems) {
            changed.stream()
                    .map(name -> DocumentName.of(DocumentKind.ROLLOUT, name.name()))
                    .distinct()
                    .flatMap(name -> Stream.ofNullable(candidate.documents().get(name)))
                    .map(versioned -> (RolloutDocument) versioned.document())
                    .forEach(rollout -> checkRollout(candidate, rollout, problems));
        }
    },
    /** The id of an API key stands in one workspace only, and once. */
    API_KEY_IDS_UNIQUE {
        @Override
        void collect(AcceptedState candidate, Set<DocumentName> changed, List<Problem> problems) {
            Map<String, DocumentName> owners = new HashMap<>();
            changed(candidate, changed, WorkspaceDocument.class)
                    .forEach(workspace -> workspace.keys().forEach(key -> {
                        DocumentName other = owners.putIfAbsent(key.id(), workspace.documentName());
                        if (other != null) {
                            problems.add(keyUsedTwice(workspace.documentName(), key.id(), other));
                        }
                    }));
            if (owners.isEmpty()) {
                return;
            }
            for (VersionedDocument versioned : candidate.documents().values()) {
                if (versioned.document() instanceof WorkspaceDocument workspace) {
                    collectKeys(workspace, changed, owners, problems);
                }
            }
        }

        private void collectKeys(
                WorkspaceDocument workspace,
                Set<DocumentName> changed,
                Map<String, DocumentName> owners,
                List<Problem> problems) {
            for (ApiKeyHash key : workspace.keys()) {
                DocumentName owner = owners.get(key.id());
                if (owner != null && !changed.contains(workspace.documentName())) {
                    problems.add(keyUsedTwice(owner, key.id(), workspace.documentName()));
                }
            }
        }
    },
    /** Of the declared availability zones at least one is in service. */
    ONE_ZONE_IN_SERVICE {
        @Override
        void collect(AcceptedState candidate, Set<DocumentName> changed, List<Problem> problems) {
            Optional<DocumentName> zone =
                    ofKind(changed, DocumentKind.ZONE).sorted().findFirst();
            List<ZoneDocument> zones = zone.isEmpty()
                    ? List.of()
                    : every(candidate, ZoneDocument.class).toList();
            if (!zones.isEmpty() && zones.stream().noneMatch(ZoneDocument::inService)) {
                problems.add(Problem.of(zone.get(), "inService", "one availability zone in service", "none"));
            }
        }
    };

    /** Returns a validator of all rules. */
    public static ConfigurationValidator all() {
        return ConfigurationValidator.allOf(Arrays.asList(values()));
    }

    @Override
    public List<Problem> check(AcceptedState candidate, Set<DocumentName> changed) {
        List<Problem> problems = new ArrayList<>();
        collect(candidate, changed, problems);
        return problems;
    }

    abstract void collect(AcceptedState candidate, Set<DocumentName> changed, List<Problem> problems);

    static Problem keyUsedTwice(DocumentName wrong, String id, DocumentName other) {
        return Problem.of(wrong, "keys", "ids used once", "\"" + id + "\", also in " + other);
    }

    static void checkRollout(AcceptedState candidate, RolloutDocument rollout, List<Problem> problems) {
        Optional<ServiceDocument> service = find(candidate, rollout.service());
        if (service.isEmpty()) {
            problems.add(
                    Problem.of(rollout.documentName(), "service", "a declared service", quoted(rollout.service())));
            return;
        }
        Map<String, VersionName> named = Map.of("from", rollout.from(), "to", rollout.to());
        for (String path : List.of("from", "to")) {
            if (!service.get().versions().containsKey(named.get(path))) {
                problems.add(Problem.of(rollout.documentName(), path, oneOf(service.get()), quoted(named.get(path))));
            }
        }
        if (rollout.from().equals(rollout.to())) {
            problems.add(Problem.of(rollout.documentName(), "to", "another version than from", quoted(rollout.to())));
        }
    }

    static Optional<ServiceDocument> find(AcceptedState candidate, ServiceName name) {
        DocumentName key = DocumentName.of(DocumentKind.SERVICE, name.value());
        return Optional.ofNullable(candidate.documents().get(key))
                .map(versioned -> (ServiceDocument) versioned.document());
    }

    static Stream<DocumentName> ofKind(Collection<DocumentName> names, DocumentKind kind) {
        return names.stream().filter(name -> name.kind() == kind);
    }

    static <T extends Document> Stream<T> every(AcceptedState candidate, Class<T> type) {
        return candidate.documents().values().stream()
                .map(VersionedDocument::document)
                .filter(type::isInstance)
                .map(type::cast);
    }

    static <T extends Document> Stream<T> changed(AcceptedState candidate, Set<DocumentName> changed, Class<T> type) {
        return changed.stream()
                .sorted()
                .flatMap(name -> Stream.ofNullable(candidate.documents().get(name)))
                .map(VersionedDocument::document)
                .filter(type::isInstance)
                .map(type::cast);
    }

    static String oneOf(ServiceDocument service) {
        return "one of "
                + service.versions().keySet().stream()
                        .map(VersionName::value)
                        .sorted()
                        .toList();
    }

    static String quoted(Object name) {
        return "\"" + name + "\"";
    }
}
