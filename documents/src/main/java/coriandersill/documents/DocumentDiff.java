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
 * What differs between two sets of documents, by document and path.
 *
 * <pre>{@code
 * DocumentDiff diff = DocumentDiff.between(state, wanted);
 * diff.changes().forEach(System.out::println);
 * List<DocumentEdit> edits = diff.edits();
 * }</pre>
 *
 * @param changes the documents that differ, by name
 * @param edits the edits that lead from the state to the wanted documents
 */
public record DocumentDiff(List<Change> changes, List<DocumentEdit> edits) {

    /** Copies the lists. */
    public DocumentDiff {
        changes = List.copyOf(changes);
        edits = List.copyOf(edits);
    }

    /**
     * One document that differs.
     *
     * @param name the document
     * @param kind what happens to it
     * @param fields the differing values; empty for a document that is added or removed
     */
    public record Change(DocumentName name, Kind kind, List<Field> fields) {}

    /** What happens to a document. */
    public enum Kind {
        /** It is new. */
        ADDED,
        /** It has other content. */
        CHANGED,
        /** It is gone. */
        REMOVED
    }

    /**
     * One differing value.
     *
     * @param path its path in the document
     * @param before its JSON before; empty when it was not there
     * @param after its JSON after; empty when it is gone
     */
    public record Field(String path, String before, String after) {}

    /** Returns what leads from {@code state} to {@code wanted}; documents that are not wanted are deleted. */
    public static DocumentDiff between(AcceptedState state, Map<DocumentName, Document> wanted) {
        List<Change> changes = new ArrayList<>();
        List<DocumentEdit> edits = new ArrayList<>();
        TreeSet<DocumentName> names = new TreeSet<>(wanted.keySet());
        names.addAll(state.documents().keySet());
        for (DocumentName name : names) {
            Optional<Document> before =
                    Optional.ofNullable(state.documents().get(name)).map(versioned -> versioned.document());
            Optional<Document> after = Optional.ofNullable(wanted.get(name));
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
        Map<String, String> old = flatten(before.get());
        Map<String, String> current = flatten(after.get());
        TreeSet<String> paths = new TreeSet<>(old.keySet());
        paths.addAll(current.keySet());
        List<Field> fields = paths.stream()
                .map(path -> new Field(path, old.getOrDefault(path, ""), current.getOrDefault(path, "")))
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
