package coriandersill.rollout.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import coriandersill.core.AvailabilityZone;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.rollout.EvidenceCell;
import coriandersill.rollout.EvidenceKey;
import coriandersill.rollout.EvidenceSummary;
import coriandersill.rollout.LatencyHistogram;
import coriandersill.rollout.RolloutId;
import coriandersill.rollout.RolloutPhase;
import coriandersill.rollout.RolloutTransition;
import coriandersill.rollout.RolloutVerdict;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/**
 * Encodes and decodes the records and messages of rollouts as JSON. Unknown fields are ignored.
 *
 * <p>The methods that decode bytes throw a {@link CallFailure} of kind {@code INVALID_REQUEST} if the bytes are not a
 * valid message.
 */
final class RolloutCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_MESSAGE_BYTES = 1 << 18;

    private RolloutCodec() {}

    static byte[] encode(RolloutTransition transition) {
        ObjectNode node = putId(MAPPER.createObjectNode(), transition.id());
        node.put("phase", transition.phase().name());
        node.put("share", transition.share());
        node.put("token", transition.fencingToken());
        node.put("source", transition.source().value());
        node.put("evidence", transition.reason());
        return toBytes(node);
    }

    static RolloutTransition decodeTransition(byte[] data) {
        return decode(
                data,
                node -> new RolloutTransition(
                        toId(node),
                        RolloutPhase.valueOf(requiredText(node, "phase")),
                        required(node, "share").asDouble(),
                        required(node, "token").asLong(),
                        InstanceId.of(requiredText(node, "source")),
                        requiredText(node, "evidence")));
    }

    static ObjectNode toNode(RolloutVerdict verdict) {
        ObjectNode node = putId(MAPPER.createObjectNode(), verdict.id());
        node.put("source", verdict.source().value());
        node.put("found", verdict.foundAtMillis());
        node.put("evidence", verdict.reason());
        return node;
    }

    static RolloutVerdict toVerdict(JsonNode node) {
        return new RolloutVerdict(
                toId(node),
                InstanceId.of(requiredText(node, "source")),
                required(node, "found").asLong(),
                requiredText(node, "evidence"));
    }

    /** Encodes the cells of a service as nested objects by version, route and zone, so that names are not repeated. */
    static ObjectNode toNode(EvidenceSummary summary, ServiceName service) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("source", summary.source().value());
        node.put("incarnation", summary.incarnation());
        node.put("window", summary.window());
        node.put("sequence", summary.sequence());
        node.put("service", service.value());
        ObjectNode versions = node.putObject("cells");
        summary.cells().forEach((key, cell) -> {
            if (key.service().equals(service)) {
                versions.withObjectProperty(key.version().value())
                        .withObjectProperty(key.route().value())
                        .set(key.zone().value(), toArray(cell));
            }
        });
        return node;
    }

    static EvidenceSummary toSummary(JsonNode node) {
        ServiceName service = ServiceName.of(requiredText(node, "service"));
        Map<EvidenceKey, EvidenceCell> cells = new HashMap<>();
        required(node, "cells").fields().forEachRemaining(version -> version.getValue()
                .fields()
                .forEachRemaining(route -> route.getValue().fields().forEachRemaining(zone -> {
                    EvidenceKey key = new EvidenceKey(
                            service,
                            VersionName.of(version.getKey()),
                            RouteName.of(route.getKey()),
                            AvailabilityZone.of(zone.getKey()));
                    cells.put(key, toCell(zone.getValue()));
                })));
        return new EvidenceSummary(
                InstanceId.of(requiredText(node, "source")),
                required(node, "incarnation").asLong(),
                required(node, "window").asLong(),
                required(node, "sequence").asLong(),
                cells);
    }

    static byte[] toBytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize rollout message as JSON", e);
        }
    }

    static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }

    /** Parses one JSON object and passes it to {@code reader}. */
    static <T> T decode(byte[] data, Reader<T> reader) {
        if (data.length > MAX_MESSAGE_BYTES) {
            throw CallFailure.of(
                    ErrorKind.INVALID_REQUEST,
                    "rollout message: expected at most " + MAX_MESSAGE_BYTES + " bytes, found " + data.length);
        }
        try {
            return reader.read(MAPPER.readTree(data));
        } catch (IOException | IllegalArgumentException | NullPointerException e) {
            throw CallFailure.of(ErrorKind.INVALID_REQUEST, "rollout message: " + e.getMessage());
        }
    }

    /** Converts a JSON object to a value. */
    @FunctionalInterface
    interface Reader<T> {
        T read(JsonNode node);
    }

    /** Encodes a cell as its calls, its failures, and its histograms of times to first token and between tokens. */
    private static ArrayNode toArray(EvidenceCell cell) {
        ArrayNode array = MAPPER.createArrayNode().add(cell.calls()).add(cell.failures());
        array.add(toSparseArray(cell.firstToken()));
        array.add(toSparseArray(cell.betweenTokens()));
        return array;
    }

    private static EvidenceCell toCell(JsonNode array) {
        return new EvidenceCell(
                array.path(0).asLong(), array.path(1).asLong(), toHistogram(array.path(2)), toHistogram(array.path(3)));
    }

    /** Encodes the non-empty buckets as bucket numbers that are each followed by a count. */
    private static ArrayNode toSparseArray(LatencyHistogram histogram) {
        ArrayNode array = MAPPER.createArrayNode();
        for (int bucket = 0; bucket < LatencyHistogram.BUCKETS; bucket++) {
            if (histogram.count(bucket) > 0) {
                array.add(bucket).add(histogram.count(bucket));
            }
        }
        return array;
    }

    private static LatencyHistogram toHistogram(JsonNode array) {
        int[] counts = new int[LatencyHistogram.BUCKETS];
        for (int i = 0; i + 1 < array.size(); i += 2) {
            int bucket = array.get(i).asInt();
            if (bucket < 0 || bucket >= counts.length) {
                throw new IllegalArgumentException(
                        "bucket: expected from 0 to " + (counts.length - 1) + ", found " + bucket);
            }
            counts[bucket] = array.get(i + 1).asInt();
        }
        return LatencyHistogram.of(counts);
    }

    /** Adds the identifier; the field {@code declaredAt} contains the position of the declaration, not a time. */
    private static ObjectNode putId(ObjectNode node, RolloutId id) {
        return node.put("service", id.service().value()).put("declaredAt", id.declarationPosition());
    }

    private static RolloutId toId(JsonNode node) {
        return new RolloutId(
                ServiceName.of(requiredText(node, "service")),
                required(node, "declaredAt").asLong());
    }

    private static String requiredText(JsonNode node, String field) {
        return required(node, field).asText();
    }

    private static JsonNode required(JsonNode node, String field) {
        JsonNode value = node.get(field);
        if (value == null) {
            throw new IllegalArgumentException(field + ": expected a value, found none");
        }
        return value;
    }
}
