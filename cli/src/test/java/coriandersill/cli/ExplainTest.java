package coriandersill.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class ExplainTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @TempDir
    Path directory;

    @Test
    void theEventsOfOneCallOnOneInstanceArePrintedInOrderOfTime() throws IOException {
        Path log = directory.resolve("entry.log");
        Files.writeString(
                log,
                """
                {"event":400,"text":"call failed","instance":"e1","call":"c1","at_ms":"90"}
                12.5 e1 {"event":404,"text":"call sent","instance":"e1","call":"c1","at_ms":"3","upstream":"i-1"}
                {"event":404,"text":"other","instance":"e1","call":"c2","at_ms":"1"}
                {"event":404,"text":"cut short","call":"c1"
                """);

        String text = explain(0, "c1", log.toString());

        assertThat(text.indexOf("call sent") < text.indexOf("call failed"), is(true));
        assertThat(text, containsString("upstream=i-1"));
        assertThat(text, not(containsString("other")));
    }

    /** Guards against an operator who cannot tell why the stream of a call that moved twice was believed or not. */
    @Test
    void theRunsOrdersAndJudgedEndsOfACallThatMovedTwiceAreExplained() throws IOException {
        String log = write(
                event(404, 1, "upstream", "e0", "run", "1"),
                event(420, 20, "engine", "e0"),
                event(432, 38, "order", "1", "run", "1", "engine", "e0"),
                unframedEnd(38, "e0", "1", "UNDECIDED", "NOT_ASKED", "LEFT_TO_MOVE"),
                event(433, 240, "order", "1", "state", "ANSWERED"),
                event(404, 241, "upstream", "e2", "run", "2"),
                event(420, 260, "engine", "e2"),
                event(432, 283, "order", "2", "run", "2", "engine", "e2"),
                unframedEnd(284, "e2", "2", "UNDECIDED", "NOT_ASKED", "LEFT_TO_MOVE"),
                event(433, 490, "order", "2", "state", "UNANSWERED"),
                unframedEnd(490, "e2", "2", "POSSIBLE", "NOT_ASKED", "NOT_PROVEN"),
                event(400, 491, "failure", "GENERATION_INTERRUPTED"));

        assertThat(
                meanings("c1", log),
                contains(
                        "run 1 at e0",
                        "move 1 of the call, away from e0",
                        "order 1 to stop run 1 at e0",
                        "run 1 at e0 ended, order 1 to stop it has no answer yet: the move decides",
                        "order 1 was answered, e0 may have stopped run 1",
                        "run 2 at e2",
                        "move 2 of the call, away from e2",
                        "order 2 to stop run 2 at e2",
                        "run 2 at e2 ended, order 2 to stop it has no answer yet: the move decides",
                        "order 2 was lost, e2 may carry it out later, also on a later run of the call",
                        "run 2 at e2 ended, order 2 to stop it was lost: not proven to be complete",
                        ""));
    }

    @Test
    void anOrderThatOutlivesItsMoveIsNamedWhereALaterRunAtTheSameEngineBeginsAndEnds() throws IOException {
        String log = write(
                event(404, 1, "upstream", "e0", "run", "1"),
                event(432, 38, "order", "1", "run", "1", "engine", "e0"),
                event(433, 240, "order", "1", "state", "UNANSWERED"),
                event(404, 300, "upstream", "e0", "run", "2"),
                unframedEnd(400, "e0", "2", "POSSIBLE", "NOT_ASKED", "NOT_PROVEN"));

        List<String> meanings = meanings("c1", log);

        assertThat(meanings.get(3), is("run 2 at e0, which may still carry out order 1"));
        assertThat(
                meanings.get(4),
                is("run 2 at e0 ended, order 1 for run 1 at the same engine outlived its move and may have stopped"
                        + " it: not proven to be complete"));
    }

    @Test
    void theEndOfAnEnginesProcessIsToldApartFromAnOrder() throws IOException {
        String log = write(
                event(404, 1, "upstream", "e0", "run", "1"),
                unframedEnd(400, "e0", "1", "NONE", "NOT_ASKED", "ASK_PROCESS"),
                unframedEnd(410, "e0", "1", "NONE", "NOT_KNOWN_TO_RUN", "NOT_PROVEN"));

        assertThat(
                meanings("c1", log).subList(1, 3),
                contains(
                        "run 1 at e0 ended, no order can have stopped it: its process is asked",
                        "run 1 at e0 ended, no order can have stopped it, the engine's process has ended or could not"
                                + " be asked: not proven to be complete"));
    }

    @Test
    void anOrderWithoutAnAnswerAtTheEndOfItsCallIsNamedThere() throws IOException {
        String log = write(event(432, 38, "order", "1", "run", "1", "engine", "e0"), event(410, 50, "last_event", "7"));

        assertThat(meanings("c1", log).get(1), is("before an answer to order 1"));
    }

    /** Guards against an engine that is blamed for what an order did whose line was dropped from a long trace. */
    @Test
    void anEndThatWasJudgedByAnOrderWithoutALineIsNotExplainedByTheEnginesProcess() throws IOException {
        String log = write(
                event(404, 1, "upstream", "e0", "run", "1"),
                event(411, 50, "lines", "4"),
                unframedEnd(60, "e0", "1", "POSSIBLE", "NOT_ASKED", "NOT_PROVEN"));

        assertThat(
                meanings("c1", log).get(2),
                is("run 1 at e0 ended, an order that is not among these lines may have stopped it:"
                        + " not proven to be complete"));
    }

    @Test
    void anEventOfAnotherVersionIsPrintedWithoutAMeaning() throws IOException {
        String log = write(
                event(432, 1, "order", "1", "engine", "e0"),
                event(433, 2, "order", "1", "state", "OTHER"),
                event(434, 3, "verdict", "OTHER"));

        assertThat(meanings("c1", log), contains("", "", ""));
    }

    @Test
    void aCallThatIsInNoFileIsReportedAsNotFound() throws IOException {
        Path log = directory.resolve("entry.log");
        Files.writeString(log, "");

        assertThat(explain(1, "c1", log.toString()), containsString("no event of call c1 found in these files"));
    }

    /** Guards against an operator who cannot tell why an upstream got no calls, by whose word and until when. */
    @Test
    void theTimesForWhichAnUpstreamWasAvoidedArePrintedWithTheirReasonSourceAndEnd() throws IOException {
        Path log = directory.resolve("entry.log");
        Files.writeString(
                log,
                """
                {"time":"2026-01-01T00:00:09Z","event":310,"text":"joined","instance":"e1","upstream":"u1"}
                {"time":"2026-01-01T00:00:01Z","event":508,"text":"asks","instance":"e1","upstream":"u1",\
                "started_ms":"7","call":"c1","obeyed_ms":"5000"}
                12.5 e1 {"time":"2026-01-01T00:00:02Z","event":508,"text":"asks","instance":"e1","upstream":"u1",\
                "started_ms":"7","obeyed_ms":"1000"}
                {"time":"2026-01-01T00:00:03Z","event":507,"text":"leaves","instance":"e1","upstream":"u1",\
                "started_ms":"7","call":"c2"}
                {"time":"2026-01-01T00:00:07Z","event":508,"text":"asks","instance":"e1","upstream":"u1",\
                "started_ms":"7","call":"c3","obeyed_ms":"1000"}
                {"time":"2026-01-01T00:00:04Z","event":507,"text":"leaves","instance":"e2","upstream":"u1"}
                {"time":"2026-01-01T00:00:05Z","event":508,"text":"asks","instance":"e1","upstream":"u2"}
                {"time":"no time","event":507,"text":"leaves","instance":"e1","upstream":"u1"}
                {"event":507,"upstream":"u1"
                """);

        List<String> rows = explain(0, "--upstream", "u1", log.toString())
                .lines()
                .skip(1)
                .map(line -> line.replaceAll(" {2,}", "|"))
                .toList();

        assertThat(
                rows,
                contains(
                        "e1|2026-01-01T00:00:01Z|2026-01-01T00:00:06Z|asks|its response to call c1|2|7",
                        "e1|2026-01-01T00:00:03Z|2026-01-01T00:00:09Z|leaves|its response to call c2|1|7",
                        "e1|2026-01-01T00:00:07Z|2026-01-01T00:00:08Z|asks|its response to call c3|1|7",
                        "e2|2026-01-01T00:00:04Z|its next join|leaves|a response of the upstream|1"));
    }

    @Test
    void anUpstreamThatSaidNothingOfItselfIsReportedAsSuch() throws IOException {
        Path log = directory.resolve("entry.log");
        Files.writeString(log, "");

        assertThat(explain(1, "--upstream", "u1", log.toString()), containsString("u1 says nothing of itself"));
    }

    private String write(String... lines) throws IOException {
        return Files.writeString(directory.resolve("entry.log"), String.join("\n", lines))
                .toString();
    }

    /** Returns a line of call c1 with fields that are given as names and values. */
    private static String event(int number, int atMillis, String... fields) {
        ObjectNode line = MAPPER.createObjectNode()
                .put("event", number)
                .put("instance", "entry")
                .put("call", "c1")
                .put("at_ms", Integer.toString(atMillis));
        for (int i = 0; i < fields.length; i += 2) {
            line.put(fields[i], fields[i + 1]);
        }
        return line.toString();
    }

    private static String unframedEnd(
            int atMillis, String engine, String run, String orders, String process, String verdict) {
        return event(
                434,
                atMillis,
                "upstream",
                engine,
                "run",
                run,
                "framing",
                "CONNECTION_END",
                "events",
                "1",
                "inside_event",
                "false",
                "orders",
                orders,
                "process",
                process,
                "verdict",
                verdict);
    }

    private static List<String> meanings(String call, String log) throws IOException {
        return MAPPER.readTree(explain(0, "--json", call, log)).findValuesAsText("meaning");
    }

    private static String explain(int expectedStatus, String... arguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        String[] command =
                Stream.concat(Stream.of("explain"), Stream.of(arguments)).toArray(String[]::new);
        assertThat(Tool.run(stream, stream, command), is(expectedStatus));
        return out.toString(StandardCharsets.UTF_8);
    }
}
