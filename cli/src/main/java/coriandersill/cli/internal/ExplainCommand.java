package coriandersill.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import coriandersill.cli.ExitCode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Prints the events of one call from the log files of the processes involved, or why, since when and until when an
 * upstream was avoided.
 */
@Command(
        name = "explain",
        description = "Print the events of one call from log files, ordered by instance and time; or, with --upstream,"
                + " when and why an upstream was avoided")
public final class ExplainCommand extends ToolCommand {
    /**
     * Fields that are not inputs of the recorded decision: those with a column of their own; {@code call}, which is the
     * same in every line; {@code name}, the name of the event code; and {@code time}, when the line was written,
     * whereas {@code at_ms} is when the event occurred.
     */
    private static final Set<String> EXCLUDED_FIELDS =
            Set.of("time", "event", "name", "instance", "text", "call", "at_ms");

    @Option(
            name = "--upstream",
            title = "ID",
            description = "Print when and why this upstream was avoided; all arguments are then log files")
    private String upstream;

    @Arguments(title = "ID FILE...", description = "ID of the call, followed by the log files to search")
    private List<String> arguments = new ArrayList<>();

    @Override
    ExitCode run(Session session, Output output) {
        return upstream == null ? explainCall(output) : explainUpstream(output);
    }

    private ExitCode explainCall(Output output) {
        if (arguments.size() < 2) {
            throw new IllegalArgumentException(
                    "explain: expected a call ID and at least one log file, found " + arguments.size() + " arguments");
        }
        String call = arguments.get(0);
        List<JsonNode> events = new ArrayList<>(EventLines.read(arguments.subList(1, arguments.size()), "call", call));
        events.sort(Comparator.comparing(ExplainCommand::instance)
                .thenComparingLong(event -> event.path("at_ms").asLong()));
        if (events.isEmpty()) {
            output.printFailure("no event of call " + call
                    + " found in these files; only a sample of the successful calls is logged");
            return ExitCode.FAILED;
        }
        Map<String, GenerationExplainer> explainers = new HashMap<>();
        output.printRows(events.stream()
                .map(event ->
                        callRow(event, explainers.computeIfAbsent(instance(event), id -> new GenerationExplainer())))
                .toList());
        return ExitCode.OK;
    }

    private static ObjectNode callRow(JsonNode event, GenerationExplainer explainer) {
        return Output.row()
                .put("at_ms", event.path("at_ms").asText())
                .put("instance", instance(event))
                .put("event", event.path("event").asText())
                .put("text", event.path("text").asText())
                .put("meaning", explainer.next(event))
                .put("inputs", formatInputs(event));
    }

    private static String instance(JsonNode event) {
        return event.path("instance").asText();
    }

    private ExitCode explainUpstream(Output output) {
        if (arguments.isEmpty()) {
            throw new IllegalArgumentException("explain --upstream: expected at least one log file, found none");
        }
        List<UpstreamAvoidance> avoidances = UpstreamAvoidance.of(EventLines.read(arguments, "upstream", upstream));
        if (avoidances.isEmpty()) {
            output.printFailure("in these files upstream " + upstream + " says nothing of itself");
            return ExitCode.FAILED;
        }
        output.printRows(avoidances.stream()
                .map(avoidance -> Output.row()
                        .put("instance", avoidance.instance())
                        .put("since", avoidance.since().toString())
                        .put("until", avoidance.until().map(Instant::toString).orElse("its next join"))
                        .put("reason", avoidance.reason())
                        .put("said_in", avoidance.source())
                        .put("responses", avoidance.responses())
                        .put("started_ms", avoidance.startedAt()))
                .toList());
        return ExitCode.OK;
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
