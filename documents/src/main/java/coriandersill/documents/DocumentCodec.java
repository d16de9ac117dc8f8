package coriandersill.documents;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import coriandersill.configuration.ApiKeyHash;
import coriandersill.configuration.Document;
import coriandersill.configuration.DocumentName;
import coriandersill.configuration.PlainRoute;
import coriandersill.configuration.Problem;
import coriandersill.configuration.RolloutDocument;
import coriandersill.configuration.RolloutDocument.RegressionCriteria;
import coriandersill.configuration.ServiceDocument;
import coriandersill.configuration.ServiceKind;
import coriandersill.configuration.VersionCapacity;
import coriandersill.configuration.WorkspaceDocument;
import coriandersill.configuration.ZoneDocument;
import coriandersill.core.AvailabilityZone;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.core.WorkspaceName;
import coriandersill.documents.internal.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Converts configuration documents to and from JSON.
 *
 * <pre>{@code
 * Decoded<Document> read = DocumentCodec.read(DocumentName.parse("zones/shewa-a"), bytes);
 * read.problems().forEach(System.err::println);
 * String canonical = DocumentCodec.write(document);
 * }</pre>
 *
 * <p>The name of a document is not part of its JSON; it comes from the file or record that contains the document.
 * Unknown and duplicate fields, wrong types and values out of range are rejected. All problems of a document are
 * reported together, except that invalid JSON, which includes duplicate fields, is reported alone.
 */
public final class DocumentCodec {
    private static final int MAX_CONCURRENCY = 100_000;
    /** The maximum number of memory tokens of a version, and of tokens per second of a workspace. */
    private static final long MAX_TOKENS = 1_000_000_000_000L;

    private static final double MAX_WEIGHT = 1_000_000;
    private static final double MAX_REGRESSION_RATIO = 1_000;
    private static final Pattern METHOD = Pattern.compile("[A-Z]{1,20}|\\*");
    private static final Pattern PATH_PREFIX = Pattern.compile("/.{0,1000}");
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
    private static final Map<String, ServiceKind> SERVICE_KINDS =
            new TreeMap<>(Map.of("generation", ServiceKind.GENERATION, "plain", ServiceKind.PLAIN));

    private DocumentCodec() {}

    /** Reads one document. */
    public static Decoded<Document> read(DocumentName name, byte[] json) {
        Json.Parsed parsed = Json.parse(name + ".json", json);
        if (parsed.problem().isPresent()) {
            return Decoded.failed(List.of(parsed.problem().get()));
        }
        return read(name, parsed.node());
    }

    /**
     * Returns the canonical form of a document: indented JSON with a fixed order of fields, equal for equal documents.
     */
    public static String write(Document document) {
        return Json.writePretty(toJson(document));
    }

    static Decoded<Document> read(DocumentName name, JsonNode node) {
        List<Problem> problems = new ArrayList<>();
        FieldReader fields = FieldReader.of(name + ".json", node, problems);
        Document document = null;
        try {
            document = switch (name.kind()) {
                case SERVICE -> readService(name, fields);
                case WORKSPACE -> readWorkspace(name, fields);
                case ZONE -> readZone(name, fields);
                case ROLLOUT -> readRollout(name, fields);
            };
        } catch (IllegalArgumentException e) {
            // If a field is invalid, its placeholder may violate a constraint of the document. The problem of the field
            // has been reported; the violation is not reported in addition.
            if (problems.isEmpty()) {
                problems.add(Problem.of(name, "", "a valid document", e.getMessage()));
            }
        }
        fields.reportUnknownFields();
        return problems.isEmpty() ? Decoded.of(document) : Decoded.failed(problems);
    }

    static ObjectNode toJson(Document document) {
        ObjectNode node = Json.object();
        if (document instanceof ServiceDocument service) {
            write(service, node);
        } else if (document instanceof WorkspaceDocument workspace) {
            write(workspace, node);
        } else if (document instanceof ZoneDocument zone) {
            node.put("region", zone.region()).put("inService", zone.inService());
        } else if (document instanceof RolloutDocument rollout) {
            write(rollout, node);
        }
        return node;
    }

    private static ServiceDocument readService(DocumentName name, FieldReader fields) {
        ServiceKind kind = fields.oneOf("kind", SERVICE_KINDS, ServiceKind.PLAIN);
        VersionName current = VersionName.of(fields.name("current"));
        Map<VersionName, VersionCapacity> versions =
                fields.objectsByName("versions", DocumentCodec::readCapacity).entrySet().stream()
                        .collect(Collectors.toMap(entry -> VersionName.of(entry.getKey()), Map.Entry::getValue));
        List<PlainRoute> routes = fields.has("routes") ? fields.objects("routes", DocumentCodec::readRoute) : List.of();
        return new ServiceDocument(ServiceName.of(name.name()), kind, current, versions, routes);
    }

    private static VersionCapacity readCapacity(FieldReader fields) {
        int coldConcurrency = fields.intValue("coldConcurrency", 1, MAX_CONCURRENCY);
        int maxConcurrency = fields.intValue("maxConcurrency", coldConcurrency, MAX_CONCURRENCY);
        long memoryTokens = fields.has("memoryTokens") ? fields.longValue("memoryTokens", 0, MAX_TOKENS) : 0;
        return new VersionCapacity(coldConcurrency, maxConcurrency, memoryTokens);
    }

    private static PlainRoute readRoute(FieldReader fields) {
        RouteName name = RouteName.of(fields.name("name"));
        String method = fields.text("method", METHOD, "an HTTP method in capitals or \"*\"", "*");
        String prefix = fields.text("pathPrefix", PATH_PREFIX, "a path that begins with \"/\"", "/");
        return new PlainRoute(name, method, prefix, fields.booleanValue("repeatable"));
    }

    private static WorkspaceDocument readWorkspace(DocumentName name, FieldReader fields) {
        List<ApiKeyHash> keys =
                fields.objects("keys", key -> new ApiKeyHash(key.name("id"), key.text("salt"), readHash(key)));
        return new WorkspaceDocument(
                WorkspaceName.of(name.name()),
                keys,
                fields.names("services").stream().map(ServiceName::of).collect(Collectors.toSet()),
                fields.doubleValue("weight", 0, MAX_WEIGHT),
                fields.intValue("maxConcurrency", 1, MAX_CONCURRENCY),
                fields.longValue("tokensPerSecond", 1, MAX_TOKENS));
    }

    private static String readHash(FieldReader key) {
        return key.text("sha256", SHA256, "64 digits 0-9 and a-f", "");
    }

    private static ZoneDocument readZone(DocumentName name, FieldReader fields) {
        return new ZoneDocument(
                AvailabilityZone.of(name.name()), fields.name("region"), fields.booleanValue("inService"));
    }

    private static RolloutDocument readRollout(DocumentName name, FieldReader fields) {
        VersionName from = VersionName.of(fields.name("from"));
        VersionName to = VersionName.of(fields.name("to"));
        FieldReader criteriaFields = fields.object("badness");
        RegressionCriteria criteria = new RegressionCriteria(
                criteriaFields.doubleValue("errorRatio", 1, MAX_REGRESSION_RATIO),
                criteriaFields.doubleValue("firstTokenRatio", 1, MAX_REGRESSION_RATIO),
                criteriaFields.doubleValue("betweenTokensRatio", 1, MAX_REGRESSION_RATIO));
        criteriaFields.reportUnknownFields();
        return new RolloutDocument(
                ServiceName.of(name.name()),
                from,
                to,
                fields.instant("deadline"),
                fields.doubleValue("firstShare", 0, 1),
                fields.duration("probation"),
                criteria);
    }

    private static void write(ServiceDocument service, ObjectNode node) {
        node.put("kind", service.kind() == ServiceKind.PLAIN ? "plain" : "generation");
        node.put("current", service.current().value());
        ObjectNode versions = node.putObject("versions");
        new TreeMap<>(service.versions()).forEach((version, capacity) -> versions.putObject(version.value())
                .put("coldConcurrency", capacity.coldConcurrency())
                .put("maxConcurrency", capacity.maxConcurrency())
                .put("memoryTokens", capacity.memoryTokens()));
        ArrayNode routes = node.putArray("routes");
        service.routes().forEach(route -> routes.addObject()
                .put("name", route.name().value())
                .put("method", route.method())
                .put("pathPrefix", route.pathPrefix())
                .put("repeatable", route.repeatable()));
    }

    private static void write(WorkspaceDocument workspace, ObjectNode node) {
        ArrayNode keys = node.putArray("keys");
        workspace.keys().forEach(key -> keys.addObject()
                .put("id", key.id())
                .put("salt", key.salt())
                .put("sha256", key.sha256()));
        ArrayNode services = node.putArray("services");
        workspace.services().stream().sorted().forEach(service -> services.add(service.value()));
        node.put("weight", workspace.weight());
        node.put("maxConcurrency", workspace.maxConcurrency());
        node.put("tokensPerSecond", workspace.tokensPerSecond());
    }

    private static void write(RolloutDocument rollout, ObjectNode node) {
        node.put("from", rollout.from().value());
        node.put("to", rollout.to().value());
        node.put("deadline", rollout.deadline().toString());
        node.put("firstShare", rollout.firstShare());
        node.put("probation", rollout.probation().toString());
        node.putObject("badness")
                .put("errorRatio", rollout.regressionCriteria().errorRatio())
                .put("firstTokenRatio", rollout.regressionCriteria().firstTokenRatio())
                .put("betweenTokensRatio", rollout.regressionCriteria().betweenTokensRatio());
    }
}
