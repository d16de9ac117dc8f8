package coriandersill.cli.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints rows of named values as a table or as JSON. */
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

    /** Prints rows that have the same fields. */
    void rows(List<ObjectNode> rows) {
        if (json) {
            ArrayNode all = MAPPER.createArrayNode();
            rows.forEach(all::add);
            print(all);
        } else if (rows.isEmpty()) {
            out.println("(none)");
        } else {
            table(rows);
        }
    }

    /** Prints one result: its fields as JSON, or its text. */
    void result(ObjectNode result, String text) {
        if (json) {
            print(result);
        } else {
            out.println(text);
        }
    }

    /** Prints progress, which is no part of the result. */
    void progress(String text) {
        err.println(text);
    }

    void failure(String text) {
        if (json) {
            print(row().put("error", text));
        }
        err.println(text);
    }

    private void print(Object node) {
        try {
            out.println(MAPPER.writeValueAsString(node));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree can be written", e);
        }
    }

    private void table(List<ObjectNode> rows) {
        List<String> fields = new ArrayList<>();
        rows.get(0).fieldNames().forEachRemaining(fields::add);
        int[] widths = fields.stream().mapToInt(String::length).toArray();
        for (ObjectNode row : rows) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row.path(fields.get(i)).asText().length());
            }
        }
        line(fields, widths);
        for (ObjectNode row : rows) {
            line(fields.stream().map(field -> row.path(field).asText()).toList(), widths);
        }
    }

    private void line(List<String> cells, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < widths.length; i++) {
            line.append(cells.get(i)).append(" ".repeat(widths[i] - cells.get(i).length() + 2));
        }
        out.println(line.toString().stripTrailing());
    }
}
