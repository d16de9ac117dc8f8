package coriandersill.documents;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import coriandersill.configuration.DocumentName;
import coriandersill.configuration.HistoryEntry;
import coriandersill.configuration.Problem;
import coriandersill.configuration.Verdict;
import coriandersill.configuration.Verdict.DocumentConflict;
import coriandersill.documents.internal.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Converts the history of decided change sets to and from JSON. */
final class HistoryCodec {
    private HistoryCodec() {}

    static HistoryEntry read(FieldReader fields) {
        return new HistoryEntry(
                readPosition(fields, "position"),
                fields.text("id"),
                fields.text("author"),
                fields.text("reason"),
                fields.instant("time"),
                readDocumentNames(fields, "documents"),
                readVerdict(fields.object("verdict")));
    }

    static ObjectNode toJson(HistoryEntry entry) {
        ObjectNode node = Json.object().put("position", entry.position()).put("id", entry.changeId());
        node.put("author", entry.author()).put("reason", entry.reason());
        node.put("time", entry.time().toString());
        ArrayNode documents = node.putArray("documents");
        entry.documents().forEach(name -> documents.add(name.toString()));
        writeVerdict(entry.verdict(), node.putObject("verdict"));
        return node;
    }

    static Optional<DocumentName> readDocumentName(FieldReader fields, String field) {
        String text = fields.text(field);
        try {
            return Optional.of(DocumentName.parse(text));
        } catch (IllegalArgumentException e) {
            fields.addProblem(field, "a document's name", "\"" + text + "\"");
            return Optional.empty();
        }
    }

    static List<DocumentName> readDocumentNames(FieldReader fields, String field) {
        List<DocumentName> names = new ArrayList<>();
        JsonNode array = fields.rawValue(field);
        if (array == null || !array.isArray()) {
            fields.addProblem(field, "a list of documents' names", String.valueOf(array));
            return names;
        }
        for (JsonNode element : array) {
            try {
                names.add(DocumentName.parse(element.asText()));
            } catch (IllegalArgumentException e) {
                fields.addProblem(field, "documents' names", element.toString());
            }
        }
        return names;
    }

    /** Reads a position in the configuration stream, such as the version of a document; -1 means none. */
    static long readPosition(FieldReader fields, String field) {
        return fields.longValue(field, -1, Long.MAX_VALUE);
    }

    private static Verdict readVerdict(FieldReader fields) {
        String kind = fields.text("kind");
        Verdict verdict =
                switch (kind) {
                    case "accepted" -> new Verdict.Accepted(readPosition(fields, "position"));
                    case "conflict" -> new Verdict.Conflict(fields.objects("documents", HistoryCodec::readConflict));
                    case "stale" -> new Verdict.Stale(readPosition(fields, "basedOn"), readPosition(fields, "oldest"));
                    case "invalid" -> new Verdict.Invalid(fields.objects(
                            "problems",
                            problem -> new Problem(
                                    problem.text("document"),
                                    problem.text("path"),
                                    problem.text("expected"),
                                    problem.text("found"))));
                    default -> {
                        fields.addProblem("kind", "a verdict", "\"" + kind + "\"");
                        // A placeholder: the reported problem prevents its use.
                        yield new Verdict.Ignored("unreadable verdict");
                    }
                };
        fields.reportUnknownFields();
        return verdict;
    }

    private static DocumentConflict readConflict(FieldReader fields) {
        // The name is null only if it is invalid; the reported problem then prevents the use of the result.
        return new DocumentConflict(
                readDocumentName(fields, "document").orElse(null),
                readPosition(fields, "base"),
                readPosition(fields, "current"),
                fields.text("author"));
    }

    private static void writeVerdict(Verdict verdict, ObjectNode node) {
        if (verdict instanceof Verdict.Accepted accepted) {
            node.put("kind", "accepted").put("position", accepted.position());
        } else if (verdict instanceof Verdict.Conflict conflict) {
            ArrayNode documents = node.put("kind", "conflict").putArray("documents");
            conflict.documents().forEach(document -> documents
                    .addObject()
                    .put("document", document.name().toString())
                    .put("base", document.base())
                    .put("current", document.current())
                    .put("author", document.author()));
        } else if (verdict instanceof Verdict.Stale stale) {
            node.put("kind", "stale").put("basedOn", stale.basedOn()).put("oldest", stale.oldest());
        } else if (verdict instanceof Verdict.Invalid invalid) {
            ArrayNode problems = node.put("kind", "invalid").putArray("problems");
            invalid.problems().forEach(problem -> problems.addObject()
                    .put("document", problem.document())
                    .put("path", problem.path())
                    .put("expected", problem.expected())
                    .put("found", problem.found()));
        } else {
            throw new IllegalArgumentException(
                    "verdict: expected Accepted, Conflict, Stale or Invalid, found " + verdict);
        }
    }
}
