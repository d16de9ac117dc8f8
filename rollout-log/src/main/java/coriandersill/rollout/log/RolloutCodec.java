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
 * Writes and reads the records and messages of rollouts as JSON; unknown fields are ignored.
 *
 * <p>Each reading method fails with a {@link CallFailure} of kind {@code INVALID_REQUEST} for bytes that are not what
 * it reads.
 */
final class RolloutCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_BYTES = 1 << 18;

    private RolloutCodec() {}

    static byte[] write(RolloutTransition transition) {
        ObjectNode node = id(MAPPER.createObjectNode(), transition.id());
        node.put("phase", transition.phase().name());
        node.put("share", transition.share());
        node.put("token", transition.fencingToken());
        node.put("source", transition.source().value());
        node.put("evidence", transition.evidence());
        return bytes(node);
    }

    static RolloutTransition transition(byte[] data) {
        return read(
                data,
                node -> new RolloutTransition(
                        id(node),
                        RolloutPhase.valueOf(text(node, "phase")),
                        required(node, "share").asDouble(),
                        required(node, "token").asLong(),
                        InstanceId.of(text(node, "source")),
                        text(node, "evidence")));
    }

    static ObjectNode node(RolloutVerdict verdict) {
        ObjectNode node = id(MAPPER.createObjectNode(), verdict.id());
        node.put("source", verdict.source().value());
        node.put("found", verdict.foundAtMillis());
        node.put("evidence", verdict.evidence());
        return node;
    }

    static RolloutVerdict verdict(JsonNode node) {
        return new RolloutVerdict(
                id(node),
                InstanceId.of(text(node, "source")),
                required(node, "found").asLong(),
                text(node, "evidence"));
    }

    /** Writes the cells of one service as nested objects by version, route and zone, so that each name stands once. */
    static ObjectNode node(EvidenceSummary summary, ServiceName service) {
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
                        .set(key.zone().value(), array(cell));
            }
        });
        return node;
    }

    static EvidenceSummary summary(JsonNode node) {
        ServiceName service = ServiceName.of(text(node, "service"));
        Map<EvidenceKey, EvidenceCell> cells = new HashMap<>();
        required(node, "cells").fields().forEachRemaining(version -> version.getValue()
                .fields()
                .forEachRemaining(route -> route.getValue().fields().forEachRemaining(zone -> {
                    EvidenceKey key = new EvidenceKey(
                            service,
                            VersionName.of(version.getKey()),
                            RouteName.of(route.getKey()),
                            AvailabilityZone.of(zone.getKey()));
                    cells.put(key, cell(zone.getValue()));
                })));
        return new EvidenceSummary(
                InstanceId.of(text(node, "source")),
                required(node, "incarnation").asLong(),
                required(node, "window").asLong(),
                required(node, "sequence").asLong(),
                cells);
    }

    static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a rollout message cannot be written as JSON", e);
        }
    }

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Reads one JSON object and gives it to {@code reader}. */
    static <T> T read(byte[] data, Reader<T> reader) {
        if (data.length > MAX_BYTES) {
            throw CallFailure.of(
                    ErrorKind.INVALID_REQUEST, "rollout message: expected at most " + MAX_BYTES + " bytes");
        }
        try {
            return reader.read(MAPPER.readTree(data));
        } catch (IOException | IllegalArgumentException | NullPointerException e) {
            throw CallFailure.of(ErrorKind.INVALID_REQUEST, "rollout message: " + e.getMessage());
        }
    }

    /** Reads a value from a JSON object. */
    @FunctionalInterface
    interface Reader<T> {
        T read(JsonNode node);
    }

    private static ArrayNode array(EvidenceCell cell) {
        ArrayNode array = MAPPER.createArrayNode().add(cell.calls()).add(cell.failures());
        array.add(sparse(cell.firstToken()));
        array.add(sparse(cell.betweenTokens()));
        return array;
    }

    private static EvidenceCell cell(JsonNode array) {
        return new EvidenceCell(
                array.path(0).asLong(), array.path(1).asLong(), histogram(array.path(2)), histogram(array.path(3)));
    }

    private static ArrayNode sparse(LatencyHistogram histogram) {
        ArrayNode array = MAPPER.createArrayNode();
        for (int bucket = 0; bucket < LatencyHistogram.BUCKETS; bucket++) {
            if (histogram.count(bucket) > 0) {
                array.add(bucket).add(histogram.count(bucket));
            }
        }
        return array;
    }

    private static LatencyHistogram histogram(JsonNode array) {
        int[] counts = new int[LatencyHistogram.BUCKETS];
        for (int i = 0; i + 1 < array.size(); i += 2) {
            int bucket = array.get(i).asInt();
            if (bucket < 0 || bucket >= counts.length) {
                throw new IllegalArgumentException("bucket: expected from 0 to 63, found " + bucket);
            }
            counts[bucket] = array.get(i + 1).asInt();
        }
        return LatencyHistogram.of(counts);
    }

    private static ObjectNode id(ObjectNode node, RolloutId id) {
        return node.put("service", id.service().value()).put("declaredAt", id.declaredAt());
    }

    private static RolloutId id(JsonNode node) {
        return new RolloutId(
                ServiceName.of(text(node, "service")),
                required(node, "declaredAt").asLong());
    }

    private static String text(JsonNode node, String field) {
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
