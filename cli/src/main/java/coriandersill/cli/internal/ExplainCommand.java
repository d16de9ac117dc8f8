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

    /** Fields that have their own column or are the same in every line. */
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
        List<JsonNode> lines = new ArrayList<>();
        for (String file : arguments.subList(1, arguments.size())) {
            lines.addAll(readLines(arguments.get(0), Path.of(file)));
        }
        lines.sort(Comparator.comparing((JsonNode line) -> line.path("instance").asText())
                .thenComparingLong(line -> line.path("at_ms").asLong()));
        if (lines.isEmpty()) {
            output.printFailure("no event of call " + arguments.get(0)
                    + " found in these files; only a sample of the successful calls is logged");
            return ExitCode.FAILED;
        }
        output.printRows(lines.stream()
                .map(line -> Output.row()
                        .put("at_ms", line.path("at_ms").asText())
                        .put("instance", line.path("instance").asText())
                        .put("event", line.path("event").asText())
                        .put("text", line.path("text").asText())
                        .put("inputs", formatInputs(line)))
                .toList());
        return ExitCode.OK;
    }

    private static List<JsonNode> readLines(String call, Path file) {
        try (Stream<String> lines = Files.lines(file)) {
            return lines.filter(line -> line.contains('"' + call + '"'))
                    .map(ExplainCommand::parse)
                    .filter(line -> line.path("call").asText().equals(call))
                    .toList();
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    file + ": expected a readable file, found " + e.getClass().getSimpleName(), e);
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

    /** Formats the remaining fields of an event, which are the inputs of the decision. */
    private static String formatInputs(JsonNode line) {
        StringBuilder text = new StringBuilder();
        for (Iterator<Map.Entry<String, JsonNode>> fields = line.fields(); fields.hasNext(); ) {
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
