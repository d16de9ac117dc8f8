package coriandersill.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class ExplainTest {
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

        String text = explain(0, "c1", log);

        assertThat(text.indexOf("call sent") < text.indexOf("call failed"), is(true));
        assertThat(text, containsString("upstream=i-1"));
        assertThat(text, not(containsString("other")));
    }

    @Test
    void aCallThatIsInNoFileIsReportedAsNotFound() throws IOException {
        Path log = directory.resolve("entry.log");
        Files.writeString(log, "");

        assertThat(explain(1, "c1", log), containsString("no event of call c1 found in these files"));
    }

    private static String explain(int expectedStatus, String call, Path log) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        assertThat(Tool.run(stream, stream, "explain", call, log.toString()), is(expectedStatus));
        return out.toString(StandardCharsets.UTF_8);
    }
}
