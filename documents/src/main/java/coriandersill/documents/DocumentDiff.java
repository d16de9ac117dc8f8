package coriandersill.documents;

import com.fasterxml.jackson.databind.JsonNode;
import coriandersill.configuration.AcceptedState;
import coriandersill.configuration.Document;
import coriandersill.configuration.DocumentEdit;
import coriandersill.configuration.DocumentName;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The differences between two sets of documents, by document and path.
 *
 * <pre>{@code
 * DocumentDiff diff = DocumentDiff.between(state, target);
 * diff.changes().forEach(System.out::println);
 * List<DocumentEdit> edits = diff.edits();
 * }</pre>
 *
 * @param changes the documents that differ, ordered by name
 * @param edits the edits that turn the accepted state into the target documents
 */
public record DocumentDiff(List<Change> changes, List<DocumentEdit> edits) {

    /** Copies the lists. */
    public DocumentDiff {
        changes = List.copyOf(changes);
        edits = List.copyOf(edits);
    }

    /**
     * A difference of one document.
     *
     * @param name the name of the document
     * @param kind whether it is added, changed or removed
     * @param fields the values that differ; empty for a document that is added or removed
     */
    public record Change(DocumentName name, Kind kind, List<Field> fields) {}

    /** The kind of a change to a document. */
    public enum Kind {
        /** The document is new. */
        ADDED,
        /** The content of the document differs. */
        CHANGED,
        /** The document is deleted. */
        REMOVED
    }

    /**
     * One value that differs.
     *
     * @param path its path in the document
     * @param before its previous JSON; empty if it did not exist
     * @param after its new JSON; empty if it no longer exists
     */
    public record Field(String path, String before, String after) {}

    /** Compares {@code state} with the {@code target} documents; documents that are not in the target are deleted. */
    public static DocumentDiff between(AcceptedState state, Map<DocumentName, Document> target) {
        List<Change> changes = new ArrayList<>();
        List<DocumentEdit> edits = new ArrayList<>();
        TreeSet<DocumentName> names = new TreeSet<>(target.keySet());
        names.addAll(state.documents().keySet());
        for (DocumentName name : names) {
            Optional<Document> before =
                    Optional.ofNullable(state.documents().get(name)).map(versioned -> versioned.document());
            Optional<Document> after = Optional.ofNullable(target.get(name));
            if (!before.equals(after)) {
                changes.add(diffDocument(name, before, after));
                edits.add(new DocumentEdit(name, state.version(name), after));
            }
        }
        return new DocumentDiff(changes, edits);
    }

    private static Change diffDocument(DocumentName name, Optional<Document> before, Optional<Document> after) {
        if (before.isEmpty() || after.isEmpty()) {
            return new Change(name, before.isEmpty() ? Kind.ADDED : Kind.REMOVED, List.of());
        }
        Map<String, String> oldValues = flatten(before.get());
        Map<String, String> newValues = flatten(after.get());
        TreeSet<String> paths = new TreeSet<>(oldValues.keySet());
        paths.addAll(newValues.keySet());
        List<Field> fields = paths.stream()
                .map(path -> new Field(path, oldValues.getOrDefault(path, ""), newValues.getOrDefault(path, "")))
                .filter(field -> !field.before().equals(field.after()))
                .toList();
        return new Change(name, Kind.CHANGED, fields);
    }

    private static Map<String, String> flatten(Document document) {
        Map<String, String> values = new TreeMap<>();
        collectValues("", DocumentCodec.toJson(document), values);
        return values;
    }

    private static void collectValues(String path, JsonNode node, Map<String, String> values) {
        if (node.isObject() && !node.isEmpty()) {
            node.fields()
                    .forEachRemaining(field -> collectValues(
                            path.isEmpty() ? field.getKey() : path + "." + field.getKey(), field.getValue(), values));
        } else if (node.isArray() && !node.isEmpty()) {
            for (int i = 0; i < node.size(); i++) {
                collectValues(path + "[" + i + "]", node.get(i), values);
            }
        } else {
            values.put(path, node.toString());
        }
    }
}
