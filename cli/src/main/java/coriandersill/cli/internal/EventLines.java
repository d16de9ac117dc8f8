package coriandersill.cli.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Reads events from log files. */
final class EventLines {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private EventLines() {}

    /**
     * Returns the events whose field {@code field} is {@code value}, in the order of the files and their lines.
     *
     * @throws IllegalArgumentException if a file cannot be read
     */
    static List<JsonNode> read(List<String> files, String field, String value) {
        return files.stream()
                .flatMap(file -> read(Path.of(file), field, value).stream())
                .toList();
    }

    private static List<JsonNode> read(Path file, String field, String value) {
        try (Stream<String> lines = Files.lines(file)) {
            return lines.filter(line -> line.contains('"' + value + '"'))
                    .map(EventLines::parse)
                    .filter(event -> event.path(field).asText().equals(value))
                    .toList();
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "cannot read log file " + file + ": " + e.getClass().getSimpleName(), e);
        }
    }

    /**
     * Parses a line, skipping any prefix that a log collector added; a truncated line yields an object without fields.
     */
    private static JsonNode parse(String line) {
        try {
            return MAPPER.readTree(line.substring(Math.max(0, line.indexOf('{'))));
        } catch (JsonProcessingException truncated) {
            return MAPPER.createObjectNode();
        }
    }
}
