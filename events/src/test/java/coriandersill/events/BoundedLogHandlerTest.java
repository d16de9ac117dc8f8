package coriandersill.events;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class BoundedLogHandlerTest {
    private BoundedLogHandler handler;

    @AfterEach
    void removeHandler() {
        Logger.getLogger("").removeHandler(handler);
    }

    @Test
    void aStalledReaderDoesNotBlockLoggingAndDroppedLinesAreCounted() throws IOException {
        try (PipedInputStream unread = new PipedInputStream(64);
                OutputStream full = new PipedOutputStream(unread)) {
            handler = BoundedLogHandler.install(full, 10);
            for (int i = 0; i < 5_000; i++) {
                handler.publish(new LogRecord(Level.INFO, "line " + i));
            }
            assertThat(handler.droppedCount(), greaterThan(4_900L));
        }
    }

    @Test
    void valuesWithQuotesAndControlCharactersStayWithinOneLineOfJson() throws IOException {
        JsonEventLog log = JsonEventLog.of("e\"1", () -> Instant.EPOCH);

        String line = log.toJson(EventCode.CALL_FAILED, Map.of("detail", "a\nb\u0000\"c\\", "more", "\t"));

        assertThat(line.contains("\n"), is(false));
        parse(line);
    }

    @Test
    void aLineLoggedByALibraryIsWrittenAsJson() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        handler = BoundedLogHandler.install(out, 10);
        LogRecord record = new LogRecord(Level.SEVERE, "went \"wrong\"\n");
        record.setLoggerName("some.library");
        handler.publish(record);

        for (int i = 0; i < 200 && out.size() == 0; i++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }

        String line = out.toString(StandardCharsets.UTF_8);
        assertThat(line, containsString("\"logger\":\"some.library\""));
        parse(line);
    }

    private static void parse(String line) throws IOException {
        try (JsonParser parser = new JsonFactory().createParser(line)) {
            while (parser.nextToken() != null) {
                parser.getText();
            }
        }
    }
}
