package coriandersill.experiment;

import coriandersill.core.CallId;
import coriandersill.core.WorkspaceName;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes workloads as CSV files with a header line. */
public final class Trace {
    private static final String HEADER =
            "at_us,entry,workspace,weight,max_tokens,prompt,prefix,prefix_tokens,output,priority";
    private static final int COLUMN_COUNT = 10;
    private static final String RESOURCE_DIRECTORY = "/traces/";

    private Trace() {}

    /** Reads a trace from the resources of this module; throws {@link IllegalArgumentException} if there is none. */
    public static List<Arrival> read(String name) {
        InputStream resource = Trace.class.getResourceAsStream(RESOURCE_DIRECTORY + name);
        if (resource == null) {
            throw new IllegalArgumentException(
                    "trace: expected a resource in " + RESOURCE_DIRECTORY + ", found none named \"" + name + "\"");
        }
        try (BufferedReader reader = new BufferedReader(new InputStreamReader(resource, StandardCharsets.UTF_8))) {
            List<Arrival> arrivals = new ArrayList<>();
            List<String> lines = reader.lines().skip(1).toList();
            for (String line : lines) {
                arrivals.add(parse(name, line, arrivals.size()));
            }
            return arrivals;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read trace " + name, e);
        }
    }

    /** Writes a workload to a file. */
    static void write(Path file, List<Arrival> arrivals) throws IOException {
        List<String> lines = new ArrayList<>(List.of(HEADER));
        arrivals.forEach(arrival -> lines.add(format(arrival)));
        Files.write(file, lines);
    }

    private static String format(Arrival arrival) {
        EngineRequest request = arrival.request();
        return arrival.timeNanos() / 1_000 + "," + arrival.entry() + "," + arrival.workspace() + "," + arrival.weight()
                + "," + arrival.maxTokens() + "," + request.promptTokens() + "," + request.prefix() + ","
                + request.prefixTokens() + "," + request.outputTokens() + "," + request.priority();
    }

    private static Arrival parse(String name, String line, int index) {
        String[] cells = line.split(",", -1);
        if (cells.length != COLUMN_COUNT) {
            throw new IllegalArgumentException("trace " + name + ", line " + (index + 2) + ": expected " + COLUMN_COUNT
                    + " columns, found " + cells.length);
        }
        EngineRequest request = new EngineRequest(
                new CallId(0, index + 1),
                Integer.parseInt(cells[5]),
                Long.parseLong(cells[6]),
                Integer.parseInt(cells[7]),
                Integer.parseInt(cells[8]),
                Integer.parseInt(cells[9]));
        return new Arrival(
                Long.parseLong(cells[0]) * 1_000,
                Integer.parseInt(cells[1]),
                WorkspaceName.of(cells[2]),
                Double.parseDouble(cells[3]),
                Integer.parseInt(cells[4]),
                request);
    }
}
