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

/** Tells the story of one call from the log files of the processes that took part in it. */
@Command(name = "explain", description = "Print the decisions of one call, in order, from log files")
public final class ExplainCommand extends ToolCommand {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Shown in columns of their own, or the same in every line. */
    private static final Set<String> OWN_COLUMNS = Set.of("time", "event", "name", "instance", "text", "call", "at_ms");

    @Arguments(title = "ID FILE...", description = "The call's identifier, and the log files to search")
    private List<String> arguments = new ArrayList<>();

    @Override
    ExitCode run(Session session, Output output) {
        if (arguments.size() < 2) {
            throw new IllegalArgumentException("explain: expected an identifier and at least one file");
        }
        List<JsonNode> lines = new ArrayList<>();
        for (String file : arguments.subList(1, arguments.size())) {
            lines.addAll(linesOf(arguments.get(0), Path.of(file)));
        }
        lines.sort(Comparator.comparing((JsonNode line) -> line.path("instance").asText())
                .thenComparingLong(line -> line.path("at_ms").asLong()));
        if (lines.isEmpty()) {
            output.failure("no line of these files names the call " + arguments.get(0)
                    + "; calls that went well are logged in part only");
            return ExitCode.FAILED;
        }
        output.rows(lines.stream()
                .map(line -> Output.row()
                        .put("at_ms", line.path("at_ms").asText())
                        .put("instance", line.path("instance").asText())
                        .put("event", line.path("event").asText())
                        .put("text", line.path("text").asText())
                        .put("inputs", inputs(line)))
                .toList());
        return ExitCode.OK;
    }

    private static List<JsonNode> linesOf(String call, Path file) {
        try (Stream<String> lines = Files.lines(file)) {
            return lines.filter(line -> line.contains('"' + call + '"'))
                    .map(ExplainCommand::parse)
                    .filter(line -> line.path("call").asText().equals(call))
                    .toList();
        } catch (IOException e) {
            throw new IllegalArgumentException(file + ": cannot be read: " + e.getMessage(), e);
        }
    }

    /** Parses a line, without what a collector of logs may have put before it; one that is cut has no fields. */
    private static JsonNode parse(String line) {
        try {
            return JSON.readTree(line.substring(Math.max(0, line.indexOf('{'))));
        } catch (JsonProcessingException cut) {
            return JSON.createObjectNode();
        }
    }

    private static String inputs(JsonNode line) {
        StringBuilder text = new StringBuilder();
        for (Iterator<Map.Entry<String, JsonNode>> fields = line.fields(); fields.hasNext(); ) {
            Map.Entry<String, JsonNode> field = fields.next();
            if (!OWN_COLUMNS.contains(field.getKey())) {
                text.append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText())
                        .append(' ');
            }
        }
        return text.toString().trim();
    }
}
