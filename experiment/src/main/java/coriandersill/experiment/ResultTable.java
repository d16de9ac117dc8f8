package coriandersill.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Prints summaries as a table and writes the individual runs to a CSV file for plots. */
final class ResultTable {
    private static final String HEADER = "deployment,load,policies,seed,offered,goodput,answered,refused,broken,"
            + "false_refusals,stall_s,preemptions,cold_violations,ttft_p50,ttft_p95,ttft_p99,"
            + "gap_p50,gap_p95,gap_p99,others_ttft_p99,others_gap_p99,attempts";

    private final PrintStream out;
    private final String deployment;
    private final List<String> csvLines = new ArrayList<>(List.of(HEADER));

    ResultTable(PrintStream out, String deployment) {
        this.out = out;
        this.deployment = deployment;
        out.printf(
                Locale.ROOT,
                "%-10s %5s %-32s %8s %8s %7s %8s %9s %9s %9s %8s %8s%n",
                "deployment",
                "load",
                "policies",
                "offered",
                "goodput",
                "refused",
                "stall s",
                "preempted",
                "ttft p95",
                "ttft p99",
                "gap p95",
                "gap p99");
    }

    void add(Summary summary) {
        out.printf(
                Locale.ROOT,
                "%-10s %4d%% %-32s %8.0f %8.0f %7.1f %8.1f %9.1f %9.0f %9.0f %8.1f %8.1f%n",
                deployment,
                summary.loadPercent(),
                summary.label(),
                summary.mean(RunResult::offeredTokensPerSecond),
                summary.goodputTokensPerSecond(),
                summary.mean(RunResult::refused),
                summary.stallSeconds(),
                summary.mean(RunResult::preemptions),
                summary.mean(result -> result.firstToken().p95()),
                summary.mean(result -> result.firstToken().p99()),
                summary.mean(result -> result.betweenTokens().p95()),
                summary.betweenTokensP99());
        summary.results().forEach(result -> csvLines.add(csvLine(summary, result)));
    }

    /** Prints a note below the last row. */
    void note(String text) {
        out.println("             " + text);
    }

    /** Writes the runs to the file {@code name} in {@code directory}, which is created if it does not exist. */
    void write(Path directory, String name) {
        try {
            Files.createDirectories(directory);
            Files.write(directory.resolve(name), csvLines);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write results to " + directory.resolve(name), e);
        }
    }

    private String csvLine(Summary summary, RunResult run) {
        List<Object> cells = List.of(
                deployment,
                summary.loadPercent(),
                summary.label().replace(',', ' '),
                run.seed(),
                rounded(run.offeredTokensPerSecond()),
                rounded(run.goodputTokensPerSecond()),
                run.answered(),
                run.refused(),
                run.broken(),
                run.falseRefusals(),
                rounded(run.stallSeconds()),
                run.preemptions(),
                run.coldViolations(),
                rounded(run.firstToken().p50()),
                rounded(run.firstToken().p95()),
                rounded(run.firstToken().p99()),
                rounded(run.betweenTokens().p50()),
                rounded(run.betweenTokens().p95()),
                rounded(run.betweenTokens().p99()),
                rounded(run.firstTokenOtherWorkspaces().p99()),
                rounded(run.betweenTokensOtherWorkspaces().p99()),
                run.attempts());
        return String.join(",", cells.stream().map(Object::toString).toList());
    }

    private static String rounded(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }
}
