package coriandersill.idempotency.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import coriandersill.core.CallId;
import coriandersill.core.InstanceId;
import coriandersill.core.WorkspaceName;
import coriandersill.idempotency.ClaimKey;
import coriandersill.idempotency.ClaimRecord;
import coriandersill.idempotency.Fingerprint;
import coriandersill.idempotency.IdempotencyKey;
import coriandersill.idempotency.Outcome;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

/**
 * Encodes and decodes the records of the claims stream as JSON with short field names.
 *
 * <p>Unknown fields and record types are ignored.
 */
final class ClaimCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String TYPE = "t";
    private static final String CLAIMED = "c";
    private static final String RELEASED = "r";
    private static final String COMPLETED = "o";
    private static final String WORKSPACE = "w";
    private static final String KEY = "k";
    private static final String FINGERPRINT = "f";
    private static final String CLAIM_ID = "id";
    private static final String HOLDER = "h";
    private static final String INCARNATION = "i";
    private static final String LIFETIME = "l";
    private static final String TOKEN = "n";
    private static final String STATUS = "s";
    private static final String CONTENT_TYPE = "m";
    private static final String BODY = "b";

    private ClaimCodec() {}

    static byte[] encode(ClaimRecord record) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put(WORKSPACE, record.key().workspace().value());
        node.put(KEY, record.key().key().toString());
        if (record instanceof ClaimRecord.Claimed claim) {
            node.put(TYPE, CLAIMED);
            node.put(FINGERPRINT, Long.toHexString(claim.fingerprint().value()));
            node.put(CLAIM_ID, claim.claimId().toString());
            node.put(HOLDER, claim.holder().value());
            node.put(INCARNATION, claim.incarnation());
            node.put(LIFETIME, claim.lifetime().toMillis());
        } else if (record instanceof ClaimRecord.Released release) {
            node.put(TYPE, RELEASED);
            node.put(TOKEN, release.token());
        } else if (record instanceof ClaimRecord.Completed completion) {
            node.put(TYPE, COMPLETED);
            node.put(TOKEN, completion.token());
            putOutcome(node, completion.outcome());
        }
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("failed to encode a claim record as JSON", e);
        }
    }

    /** Returns a record without effect; a writer that reads it back has read all records before it. */
    static byte[] marker(CallId id) {
        return ("{\"t\":\"m\",\"id\":\"" + id + "\"}").getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes a record; returns empty if it is malformed or has an unknown type. */
    static Optional<ClaimRecord> decode(byte[] data) {
        try {
            JsonNode node = MAPPER.readTree(data);
            ClaimKey key = ClaimKey.of(
                    WorkspaceName.of(node.path(WORKSPACE).asText()),
                    IdempotencyKey.parse(node.path(KEY).asText()));
            return switch (node.path(TYPE).asText()) {
                case CLAIMED -> Optional.of(decodeClaimed(key, node));
                case RELEASED -> Optional.of(new ClaimRecord.Released(key, decodeToken(node)));
                case COMPLETED -> Optional.of(new ClaimRecord.Completed(key, decodeToken(node), decodeOutcome(node)));
                default -> Optional.empty();
            };
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static void putOutcome(ObjectNode node, Outcome outcome) {
        node.put(STATUS, outcome.status());
        if (outcome.bodyKept()) {
            node.put(CONTENT_TYPE, outcome.contentType());
            node.put(BODY, outcome.body());
        }
    }

    private static ClaimRecord decodeClaimed(ClaimKey key, JsonNode node) {
        return new ClaimRecord.Claimed(
                key,
                new Fingerprint(Long.parseUnsignedLong(node.path(FINGERPRINT).asText(), 16)),
                CallId.parse(node.path(CLAIM_ID).asText()),
                InstanceId.of(node.path(HOLDER).asText()),
                node.path(INCARNATION).asLong(),
                Duration.ofMillis(node.path(LIFETIME).asLong()));
    }

    private static Outcome decodeOutcome(JsonNode node) throws IOException {
        int status = node.path(STATUS).asInt();
        return node.has(BODY)
                ? new Outcome(
                        status,
                        node.path(CONTENT_TYPE).asText(),
                        node.path(BODY).binaryValue(),
                        true)
                : Outcome.withoutBody(status);
    }

    private static long decodeToken(JsonNode node) {
        if (!node.path(TOKEN).isIntegralNumber()) {
            throw new IllegalArgumentException("token: expected an integer, found " + node.path(TOKEN));
        }
        return node.path(TOKEN).asLong();
    }
}
