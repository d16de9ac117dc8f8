package coriandersill.leases.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import coriandersill.core.InstanceId;
import coriandersill.leases.LeaseHolder;
import coriandersill.leases.LeaseName;
import coriandersill.leases.LeaseRecord;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

/**
 * Encodes and decodes the records of the leases stream as JSON.
 *
 * <p>Unknown fields and record types are ignored.
 */
final class LeaseCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String TYPE = "type";
    private static final String ACQUIRE = "acquire";
    private static final String RENEW = "renew";
    private static final String RELEASE = "release";
    private static final String NAME = "name";
    private static final String INSTANCE = "instance";
    private static final String INCARNATION = "incarnation";
    private static final String TERM_MILLIS = "termMillis";
    private static final String TOKEN = "token";
    private static final String SEQUENCE = "sequence";

    private LeaseCodec() {}

    static byte[] encode(LeaseRecord record) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put(NAME, record.name().value());
        node.put(INSTANCE, record.holder().instance().value());
        node.put(INCARNATION, record.holder().incarnation());
        if (record instanceof LeaseRecord.Acquire acquire) {
            node.put(TYPE, ACQUIRE).put(TERM_MILLIS, acquire.term().toMillis()).put(SEQUENCE, acquire.sequence());
        } else if (record instanceof LeaseRecord.Renew renew) {
            node.put(TYPE, RENEW)
                    .put(TOKEN, renew.token())
                    .put(TERM_MILLIS, renew.term().toMillis())
                    .put(SEQUENCE, renew.sequence());
        } else if (record instanceof LeaseRecord.Release release) {
            node.put(TYPE, RELEASE).put(TOKEN, release.token());
        }
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("failed to encode a lease record as JSON", e);
        }
    }

    /**
     * Returns a record without effect; a writer that reads it back has read all records before it.
     *
     * @param randomNumber a random number, so that the marker equals no other record of the stream
     */
    static byte[] marker(LeaseHolder holder, long randomNumber) {
        String text = "{\"type\":\"marker\",\"instance\":\"" + holder.instance() + "\",\"incarnation\":"
                + holder.incarnation() + ",\"number\":" + randomNumber + "}";
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes a record; returns empty if it is malformed or has an unknown type. */
    static Optional<LeaseRecord> decode(byte[] data) {
        try {
            JsonNode node = MAPPER.readTree(data);
            LeaseName name = LeaseName.of(node.path(NAME).asText());
            LeaseHolder holder = new LeaseHolder(
                    InstanceId.of(node.path(INSTANCE).asText()),
                    node.path(INCARNATION).asLong());
            Duration term = Duration.ofMillis(node.path(TERM_MILLIS).asLong());
            long token = node.path(TOKEN).asLong(Long.MIN_VALUE);
            long sequence = node.path(SEQUENCE).asLong();
            return switch (node.path(TYPE).asText()) {
                case ACQUIRE -> Optional.of(new LeaseRecord.Acquire(name, holder, term, sequence));
                case RENEW -> Optional.of(new LeaseRecord.Renew(name, holder, token, term, sequence));
                case RELEASE -> Optional.of(new LeaseRecord.Release(name, holder, token));
                default -> Optional.empty();
            };
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
