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

/** The consistency rules between documents that every configuration must satisfy. */
public enum StandardRule implements ConfigurationValidator {
    /** A workspace uses only services that are declared. */
    WORKSPACE_SERVICES_EXIST {
        @Override
        void findProblems(AcceptedState candidate, Set<DocumentName> changed, List<Problem> problems) {
            boolean serviceDeleted = namesOfKind(changed, DocumentKind.SERVICE)
                    .anyMatch(name -> !candidate.documents().containsKey(name));
            Stream<WorkspaceDocument> affected = serviceDeleted
                    ? documentsOfType(candidate, WorkspaceDocument.class)
                    : changedOfType(candidate, changed, WorkspaceDocument.class);
            affected.forEach(workspace -> workspace.services().stream()
                    .filter(service -> serviceDocument(candidate, service).isEmpty())
                    .sorted()
                    .forEach(service -> problems.add(
                            Problem.of(workspace.documentName(), "services", "declared services", quoted(service)))));
        }
    },
    /** The current version of a service is one of its versions. */
    CURRENT_VERSION_EXISTS {
        @Override
        void findProblems(AcceptedState candidate, Set<DocumentName> changed, List<Problem> problems) {
            changedOfType(candidate, changed, ServiceDocument.class)
                    .filter(service -> !service.versions().containsKey(service.current()))
                    .forEach(service -> problems.add(
                            Problem.of(service.documentName(), "current", oneOf(service), quoted(service.current()))));
        }
    },
    /** A rollout names a declared service and two different versions of it. */
    ROLLOUT_VERSIONS_EXIST {
        @Override
        void findProblems(AcceptedState candidate, Set<DocumentName> changed, List<Problem> problems) {
            // A rollout has the name of its service, so a change of the service also checks its rollout.
            changed.stream()
                    .map(name -> DocumentName.of(DocumentKind.ROLLOUT, name.name()))
                    .distinct()
                    .flatMap(name -> Stream.ofNullable(candidate.documents().get(name)))
                    .map(versioned -> (RolloutDocument) versioned.document())
                    .forEach(rollout -> checkRollout(candidate, rollout, problems));
        }
    },
    /** The id of an API key occurs only once over all workspaces. */
    API_KEY_IDS_UNIQUE {
        @Override
        void findProblems(AcceptedState candidate, Set<DocumentName> changed, List<Problem> problems) {
            Map<String, DocumentName> owners = new HashMap<>();
            changedOfType(candidate, changed, WorkspaceDocument.class)
                    .forEach(workspace -> workspace.keys().forEach(key -> {
                        DocumentName other = owners.putIfAbsent(key.id(), workspace.documentName());
                        if (other != null) {
                            problems.add(duplicateKey(workspace.documentName(), key.id(), other));
                        }
                    }));
            if (owners.isEmpty()) {
                return;
            }
            for (VersionedDocument versioned : candidate.documents().values()) {
                if (versioned.document() instanceof WorkspaceDocument workspace) {
                    findDuplicatesInUnchanged(workspace, changed, owners, problems);
                }
            }
        }

        private void findDuplicatesInUnchanged(
                WorkspaceDocument workspace,
                Set<DocumentName> changed,
                Map<String, DocumentName> owners,
                List<Problem> problems) {
            for (ApiKeyHash key : workspace.keys()) {
                DocumentName owner = owners.get(key.id());
                if (owner != null && !changed.contains(workspace.documentName())) {
                    problems.add(duplicateKey(owner, key.id(), workspace.documentName()));
                }
            }
        }
    },
    /** If availability zones are declared, at least one is in service. */
    ONE_ZONE_IN_SERVICE {
        @Override
        void findProblems(AcceptedState candidate, Set<DocumentName> changed, List<Problem> problems) {
            Optional<DocumentName> firstChangedZone =
                    namesOfKind(changed, DocumentKind.ZONE).sorted().findFirst();
            List<ZoneDocument> zones = firstChangedZone.isEmpty()
                    ? List.of()
                    : documentsOfType(candidate, ZoneDocument.class).toList();
            if (!zones.isEmpty() && zones.stream().noneMatch(ZoneDocument::inService)) {
                problems.add(
                        Problem.of(firstChangedZone.get(), "inService", "one availability zone in service", "none"));
            }
        }
    };

    /** Returns a validator that checks all rules. */
    public static ConfigurationValidator all() {
        return ConfigurationValidator.allOf(Arrays.asList(values()));
    }

    @Override
    public List<Problem> check(AcceptedState candidate, Set<DocumentName> changed) {
        List<Problem> problems = new ArrayList<>();
        findProblems(candidate, changed, problems);
        return problems;
    }

    abstract void findProblems(AcceptedState candidate, Set<DocumentName> changed, List<Problem> problems);

    static Problem duplicateKey(DocumentName document, String id, DocumentName other) {
        return Problem.of(document, "keys", "ids used once", "\"" + id + "\", also in " + other);
    }

    static void checkRollout(AcceptedState candidate, RolloutDocument rollout, List<Problem> problems) {
        Optional<ServiceDocument> service = serviceDocument(candidate, rollout.service());
        if (service.isEmpty()) {
            problems.add(
                    Problem.of(rollout.documentName(), "service", "a declared service", quoted(rollout.service())));
            return;
        }
        Map<String, VersionName> versions = Map.of("from", rollout.from(), "to", rollout.to());
        for (String path : List.of("from", "to")) {
            if (!service.get().versions().containsKey(versions.get(path))) {
                problems.add(
                        Problem.of(rollout.documentName(), path, oneOf(service.get()), quoted(versions.get(path))));
            }
        }
        if (rollout.from().equals(rollout.to())) {
            problems.add(Problem.of(rollout.documentName(), "to", "another version than from", quoted(rollout.to())));
        }
    }

    static Optional<ServiceDocument> serviceDocument(AcceptedState candidate, ServiceName name) {
        DocumentName key = DocumentName.of(DocumentKind.SERVICE, name.value());
        return Optional.ofNullable(candidate.documents().get(key))
                .map(versioned -> (ServiceDocument) versioned.document());
    }

    static Stream<DocumentName> namesOfKind(Collection<DocumentName> names, DocumentKind kind) {
        return names.stream().filter(name -> name.kind() == kind);
    }

    static <T extends Document> Stream<T> documentsOfType(AcceptedState candidate, Class<T> type) {
        return candidate.documents().values().stream()
                .map(VersionedDocument::document)
                .filter(type::isInstance)
                .map(type::cast);
    }

    static <T extends Document> Stream<T> changedOfType(
            AcceptedState candidate, Set<DocumentName> changed, Class<T> type) {
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
