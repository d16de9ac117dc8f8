package coriandersill.documents.internal;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import coriandersill.configuration.Problem;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

/** Parses and prints JSON: duplicate fields and text after the end are refused. */
public final class Json {
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
            .enable(JsonGenerator.Feature.WRITE_BIGDECIMAL_AS_PLAIN)
            .build();

    private Json() {}

    /** Returns an empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Parses one JSON value, or returns why it is none, as a problem of {@code document}. */
    public static Parsed parse(String document, byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            if (node == null || node.isMissingNode()) {
                return new Parsed(null, Optional.of(new Problem(document, "", "a JSON object", "nothing")));
            }
            return new Parsed(node, Optional.empty());
        } catch (JsonProcessingException e) {
            String where = e.getLocation() == null
                    ? ""
                    : " in line " + e.getLocation().getLineNr() + ", column "
                            + e.getLocation().getColumnNr();
            return new Parsed(null, Optional.of(new Problem(document, "", "JSON", e.getOriginalMessage() + where)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The result of {@link #parse}: one of the two is there. */
    public record Parsed(JsonNode node, Optional<Problem> problem) {}

    /** Prints without white space. */
    public static byte[] compact(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Prints indented, with a line break at the end. */
    public static String pretty(JsonNode node) {
        try {
            return MAPPER.writer(SerializationFeature.INDENT_OUTPUT).writeValueAsString(node) + "\n";
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
