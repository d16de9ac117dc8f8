package coriandersill.cli.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints rows of named values as a table or, with {@code --json}, as JSON. */
final class Output {
    private static final ObjectMapper MAPPER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private final PrintStream out;
    private final PrintStream err;
    private final boolean json;

    Output(PrintStream out, PrintStream err, boolean json) {
        this.out = out;
        this.err = err;
        this.json = json;
    }

    static ObjectNode row() {
        return MAPPER.createObjectNode();
    }

    /** Prints rows; the columns of a table are the fields of the first row. */
    void printRows(List<ObjectNode> rows) {
        if (json) {
            ArrayNode all = MAPPER.createArrayNode();
            rows.forEach(all::add);
            printJson(all);
        } else if (rows.isEmpty()) {
            out.println("(none)");
        } else {
            printTable(rows);
        }
    }

    /** Prints one result, either its fields as JSON or the text. */
    void printResult(ObjectNode result, String text) {
        if (json) {
            printJson(result);
        } else {
            out.println(text);
        }
    }

    /** Prints progress to standard error; it is not part of the result. */
    void printProgress(String text) {
        err.println(text);
    }

    /** Prints a failure to standard error and, with {@code --json}, also as a JSON object to standard output. */
    void printFailure(String text) {
        if (json) {
            printJson(row().put("error", text));
        }
        err.println(text);
    }

    private void printJson(Object node) {
        try {
            out.println(MAPPER.writeValueAsString(node));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a JSON tree", e);
        }
    }

    private void printTable(List<ObjectNode> rows) {
        List<String> fields = new ArrayList<>();
        rows.get(0).fieldNames().forEachRemaining(fields::add);
        int[] widths = fields.stream().mapToInt(String::length).toArray();
        for (ObjectNode row : rows) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row.path(fields.get(i)).asText().length());
            }
        }
        printLine(fields, widths);
        for (ObjectNode row : rows) {
            printLine(fields.stream().map(field -> row.path(field).asText()).toList(), widths);
        }
    }

    private void printLine(List<String> cells, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < widths.length; i++) {
            line.append(cells.get(i)).append(" ".repeat(widths[i] - cells.get(i).length() + 2));
        }
        out.println(line.toString().stripTrailing());
    }
}
