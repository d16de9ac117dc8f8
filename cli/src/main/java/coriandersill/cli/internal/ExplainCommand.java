package coriandersill.cli.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import coriandersill.cli.ExitCode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/** Prints the events of one call from the log files of the processes involved. */
@Command(name = "explain", description = "Print the events of one call from log files, ordered by instance and time")
public final class ExplainCommand extends ToolCommand {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Fields that are not inputs of the recorded decision: those with a column of their own; {@code call}, which is the
     * same in every line; {@code name}, the name of the event code; and {@code time}, when the line was written,
     * whereas {@code at_ms} is when the event occurred.
     */
    private static final Set<String> EXCLUDED_FIELDS =
            Set.of("time", "event", "name", "instance", "text", "call", "at_ms");

    @Arguments(title = "ID FILE...", description = "ID of the call, followed by the log files to search")
    private List<String> arguments = new ArrayList<>();

    @Override
    ExitCode run(Session session, Output output) {
        if (arguments.size() < 2) {
            throw new IllegalArgumentException(
                    "explain: expected a call ID and at least one log file, found " + arguments.size() + " arguments");
        }
        List<JsonNode> events = new ArrayList<>();
        for (String file : arguments.subList(1, arguments.size())) {
            events.addAll(readEvents(arguments.get(0), Path.of(file)));
        }
        events.sort(
                Comparator.comparing((JsonNode event) -> event.path("instance").asText())
                        .thenComparingLong(event -> event.path("at_ms").asLong()));
        if (events.isEmpty()) {
            output.printFailure("no event of call " + arguments.get(0)
                    + " found in these files; only a sample of the successful calls is logged");
            return ExitCode.FAILED;
        }
        output.printRows(events.stream()
                .map(event -> Output.row()
                        .put("at_ms", event.path("at_ms").asText())
                        .put("instance", event.path("instance").asText())
                        .put("event", event.path("event").asText())
                        .put("text", event.path("text").asText())
                        .put("inputs", formatInputs(event)))
                .toList());
        return ExitCode.OK;
    }

    private static List<JsonNode> readEvents(String callId, Path file) {
        try (Stream<String> lines = Files.lines(file)) {
            return lines.filter(line -> line.contains('"' + callId + '"'))
                    .map(ExplainCommand::parse)
                    .filter(event -> event.path("call").asText().equals(callId))
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

    /** Formats the remaining fields of an event, which are the inputs of the decision that it records. */
    private static String formatInputs(JsonNode event) {
        StringBuilder text = new StringBuilder();
        for (Iterator<Map.Entry<String, JsonNode>> fields = event.fields(); fields.hasNext(); ) {
            Map.Entry<String, JsonNode> field = fields.next();
            if (!EXCLUDED_FIELDS.contains(field.getKey())) {
                text.append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText())
                        .append(' ');
            }
        }
        return text.toString().trim();
    }
}
