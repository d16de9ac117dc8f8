package coriandersill.documents;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import coriandersill.configuration.AcceptedState;
import coriandersill.configuration.ChangeSet;
import coriandersill.configuration.ConfigurationRecord;
import coriandersill.configuration.ConfigurationStateMachine;
import coriandersill.configuration.Document;
import coriandersill.configuration.DocumentEdit;
import coriandersill.configuration.DocumentName;
import coriandersill.configuration.HistoryEntry;
import coriandersill.configuration.PeerState;
import coriandersill.configuration.Problem;
import coriandersill.configuration.SnapshotChunk;
import coriandersill.configuration.VersionedDocument;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.documents.internal.Json;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Converts the records of the configuration stream, and the states that peers exchange, to and from JSON.
 *
 * <pre>{@code
 * byte[] data = RecordCodec.encode(change);
 * ConfigurationRecord record = RecordCodec.decode(data);
 * }</pre>
 *
 * <p>Decoding a record never fails: an invalid change set, or a record that is not JSON, becomes a
 * {@link ConfigurationRecord.Malformed}; an invalid snapshot chunk, or a record of an unknown type, becomes a
 * {@link ConfigurationRecord.Unknown}.
 */
public final class RecordCodec {
    private static final String CHANGE = "change";
    private static final String SNAPSHOT = "snapshot";
    private static final int MAX_EPOCH = 1 << 20;
    private static final int MAX_SNAPSHOT_CHUNKS = 1 << 20;

    private RecordCodec() {}

    /** Encodes a record; throws {@link IllegalArgumentException} unless it is a change set or a snapshot chunk. */
    public static byte[] encode(ConfigurationRecord record) {
        if (record instanceof ChangeSet change) {
            return Json.writeCompact(toJson(change));
        }
        if (record instanceof SnapshotChunk chunk) {
            return Json.writeCompact(toJson(chunk));
        }
        throw new IllegalArgumentException("record: expected a change set or a snapshot chunk, found " + record);
    }

    /** Decodes one record. */
    public static ConfigurationRecord decode(byte[] data) {
        Json.Parsed parsed = Json.parse(CHANGE, data);
        if (parsed.problem().isPresent()) {
            return new ConfigurationRecord.Malformed(
                    "", "", List.of(parsed.problem().get()));
        }
        String type = parsed.node().path("type").asText("");
        return switch (type) {
            case CHANGE -> decodeChange(parsed.node());
            case SNAPSHOT -> decodeSnapshot(parsed.node());
            default -> new ConfigurationRecord.Unknown(type);
        };
    }

    /** Encodes the state of a peer. */
    public static byte[] encode(PeerState state) {
        AcceptedState accepted = state.accepted();
        ObjectNode node = Json.object().put("since", state.since()).put("position", accepted.position());
        node.put("historyFloor", accepted.historyFloor());
        writeDocuments(node.putArray("documents"), accepted.documents().values());
        writeHistory(node.putArray("history"), accepted.history());
        ArrayNode removed = node.putArray("removed");
        state.removed().forEach(name -> removed.add(name.toString()));
        return Json.writeCompact(node);
    }

    /** Decodes the state of a peer; throws a {@link CallFailure} of kind {@code INVALID_REQUEST} if it is invalid. */
    public static PeerState decodePeerState(byte[] data) {
        List<Problem> problems = new ArrayList<>();
        Json.Parsed parsed = Json.parse("peer state", data);
        parsed.problem().ifPresent(problems::add);
        FieldReader fields = FieldReader.of("peer state", parsed.node(), problems);
        long since = HistoryCodec.readPosition(fields, "since");
        long position = HistoryCodec.readPosition(fields, "position");
        long historyFloor = HistoryCodec.readPosition(fields, "historyFloor");
        Map<DocumentName, VersionedDocument> documents = new HashMap<>();
        readDocuments(fields, problems)
                .forEach(versioned -> documents.put(versioned.document().documentName(), versioned));
        List<HistoryEntry> history = fields.objects("history", HistoryCodec::read);
        Set<DocumentName> removed = new HashSet<>(HistoryCodec.readDocumentNames(fields, "removed"));
        fields.reportUnknownFields();
        if (!problems.isEmpty()) {
            throw CallFailure.of(ErrorKind.INVALID_REQUEST, "peer state: " + problems.get(0));
        }
        return new PeerState(since, new AcceptedState(position, documents, history, historyFloor), removed);
    }

    private static ConfigurationRecord decodeChange(JsonNode node) {
        List<Problem> problems = new ArrayList<>();
        FieldReader fields = FieldReader.of(CHANGE, node, problems);
        // Marks the field as known, for reportUnknownFields().
        fields.text("type");
        String id = fields.name("id");
        String author = fields.text("author");
        String reason = fields.text("reason");
        var time = fields.instant("time");
        int schema = fields.intValue("schema", 1, Integer.MAX_VALUE);
        long basedOn = HistoryCodec.readPosition(fields, "basedOn");
        // This software version cannot read the edits of a newer schema. The change set is decoded without them, so
        // that it can be kept pending under its id.
        if (schema > ConfigurationStateMachine.SCHEMA && problems.isEmpty()) {
            return new ChangeSet(id, author, reason, time, schema, basedOn, List.of());
        }
        List<DocumentEdit> edits = fields.objects("edits", edit -> readEdit(edit, problems));
        fields.reportUnknownFields();
        if (problems.isEmpty()) {
            return new ChangeSet(id, author, reason, time, schema, basedOn, edits);
        }
        String idOrEmpty = node.path("id").isTextual() ? node.path("id").textValue() : "";
        return new ConfigurationRecord.Malformed(idOrEmpty, author, problems);
    }

    /** Reads an edit; returns null if its document name is invalid, which is then one of the problems. */
    private static DocumentEdit readEdit(FieldReader fields, List<Problem> problems) {
        Optional<DocumentName> name = HistoryCodec.readDocumentName(fields, "document");
        long base = HistoryCodec.readPosition(fields, "base");
        JsonNode content = fields.rawValue("content");
        if (name.isEmpty()) {
            return null;
        }
        if (content == null || content.isNull()) {
            return DocumentEdit.delete(name.get(), base);
        }
        Decoded<Document> decoded = DocumentCodec.read(name.get(), content);
        problems.addAll(decoded.problems());
        return new DocumentEdit(name.get(), base, decoded.value());
    }

    private static ConfigurationRecord decodeSnapshot(JsonNode node) {
        List<Problem> problems = new ArrayList<>();
        FieldReader fields = FieldReader.of(SNAPSHOT, node, problems);
        // Marks the field as known, for reportUnknownFields().
        fields.text("type");
        String id = fields.name("id");
        long epoch = fields.longValue("epoch", 0, MAX_EPOCH);
        long asOf = HistoryCodec.readPosition(fields, "asOf");
        int count = fields.intValue("count", 1, MAX_SNAPSHOT_CHUNKS);
        int index = fields.intValue("index", 0, count - 1);
        long historyFloor = HistoryCodec.readPosition(fields, "historyFloor");
        List<VersionedDocument> documents = readDocuments(fields, problems);
        List<HistoryEntry> history = fields.objects("history", HistoryCodec::read);
        fields.reportUnknownFields();
        return problems.isEmpty()
                ? new SnapshotChunk(id, epoch, asOf, index, count, documents, history, historyFloor)
                : new ConfigurationRecord.Unknown("snapshot with " + problems.get(0));
    }

    private static List<VersionedDocument> readDocuments(FieldReader fields, List<Problem> problems) {
        List<VersionedDocument> documents = new ArrayList<>();
        List<Optional<VersionedDocument>> optionalDocuments = fields.objects("documents", document -> {
            Optional<DocumentName> name = HistoryCodec.readDocumentName(document, "document");
            long version = HistoryCodec.readPosition(document, "version");
            String author = document.text("author");
            JsonNode content = document.rawValue("content");
            if (name.isEmpty()) {
                return Optional.empty();
            }
            Decoded<Document> decoded = DocumentCodec.read(name.get(), content);
            problems.addAll(decoded.problems());
            return decoded.value().map(value -> new VersionedDocument(value, version, author));
        });
        optionalDocuments.forEach(versioned -> versioned.ifPresent(documents::add));
        return documents;
    }

    private static ObjectNode toJson(ChangeSet change) {
        ObjectNode node = Json.object().put("type", CHANGE).put("id", change.id());
        node.put("author", change.author()).put("reason", change.reason());
        node.put("time", change.time().toString()).put("schema", change.schema());
        node.put("basedOn", change.basedOn());
        ArrayNode edits = node.putArray("edits");
        for (DocumentEdit edit : change.edits()) {
            ObjectNode editNode =
                    edits.addObject().put("document", edit.name().toString()).put("base", edit.baseVersion());
            edit.content().ifPresent(content -> editNode.set("content", DocumentCodec.toJson(content)));
        }
        return node;
    }

    private static ObjectNode toJson(SnapshotChunk chunk) {
        ObjectNode node = Json.object().put("type", SNAPSHOT).put("id", chunk.snapshotId());
        node.put("epoch", chunk.epoch()).put("asOf", chunk.asOf());
        node.put("index", chunk.index()).put("count", chunk.count());
        node.put("historyFloor", chunk.historyFloor());
        writeDocuments(node.putArray("documents"), chunk.documents());
        writeHistory(node.putArray("history"), chunk.history());
        return node;
    }

    private static void writeDocuments(ArrayNode array, Iterable<VersionedDocument> documents) {
        for (VersionedDocument versioned : documents) {
            array.addObject()
                    .put("document", versioned.document().documentName().toString())
                    .put("version", versioned.version())
                    .put("author", versioned.author())
                    .set("content", DocumentCodec.toJson(versioned.document()));
        }
    }

    private static void writeHistory(ArrayNode array, List<HistoryEntry> history) {
        history.forEach(entry -> array.add(HistoryCodec.toJson(entry)));
    }
}
