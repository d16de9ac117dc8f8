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

/** Parses and writes JSON; rejects duplicate fields and trailing text. */
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

    /** Parses one JSON value; if the text is invalid, returns a problem of {@code document}. */
    public static Parsed parse(String document, byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            if (node == null || node.isMissingNode()) {
                return new Parsed(null, Optional.of(new Problem(document, "", "a JSON object", "nothing")));
            }
            return new Parsed(node, Optional.empty());
        } catch (JsonProcessingException e) {
            String location = e.getLocation() == null
                    ? ""
                    : " in line " + e.getLocation().getLineNr() + ", column "
                            + e.getLocation().getColumnNr();
            return new Parsed(null, Optional.of(new Problem(document, "", "JSON", e.getOriginalMessage() + location)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * The result of {@link #parse}: a value or a problem.
     *
     * @param node the value; null if there is a problem
     * @param problem why the text is invalid; empty if there is a value
     */
    public record Parsed(JsonNode node, Optional<Problem> problem) {}

    /** Writes JSON without white space. */
    public static byte[] writeCompact(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Writes indented JSON with a line break at the end. */
    public static String writePretty(JsonNode node) {
        try {
            return MAPPER.writer(SerializationFeature.INDENT_OUTPUT).writeValueAsString(node) + "\n";
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
