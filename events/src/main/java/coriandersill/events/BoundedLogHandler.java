package coriandersill.events;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes log lines to a stream on a dedicated thread and never blocks the thread that logs.
 *
 * <pre>{@code
 * BoundedLogHandler.install(System.out, 4_096);
 * }</pre>
 *
 * <p>If the queue is full, the line is dropped and counted; the next line written is preceded by the number dropped.
 */
public final class BoundedLogHandler extends Handler {
    private static final JsonFactory JSON = new JsonFactory();

    private final BlockingQueue<String> queue;
    private final AtomicLong droppedCount = new AtomicLong();
    private final PrintStream out;

    private BoundedLogHandler(OutputStream stream, int capacity) {
        this.queue = new ArrayBlockingQueue<>(capacity);
        this.out = new PrintStream(stream, false, StandardCharsets.UTF_8);
        Thread writer = new Thread(this::writeQueuedLines, "log-writer");
        writer.setDaemon(true);
        writer.start();
    }

    /** Makes all loggers of the process write to {@code stream}, with at most {@code capacity} lines queued. */
    public static BoundedLogHandler install(OutputStream stream, int capacity) {
        BoundedLogHandler handler = new BoundedLogHandler(stream, capacity);
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        root.setLevel(Level.INFO);
        root.addHandler(handler);
        return handler;
    }

    /** The number of lines dropped so far. */
    public long droppedCount() {
        return droppedCount.get();
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        boolean isEvent = JsonEventLog.LOGGER_NAME.equals(record.getLoggerName());
        if (!queue.offer(isEvent ? record.getMessage() : toJson(record))) {
            droppedCount.incrementAndGet();
        }
    }

    /** Formats a record of another logger, such as a library's, as JSON, so that every output line can be parsed. */
    private static String toJson(LogRecord record) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("name", "LIBRARY");
            json.writeStringField("level", record.getLevel().getName());
            json.writeStringField("logger", String.valueOf(record.getLoggerName()));
            json.writeStringField("text", String.valueOf(record.getMessage()));
            if (record.getThrown() != null) {
                json.writeStringField("error", record.getThrown().toString());
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot serialize log record as JSON", e);
        }
        return text.toString();
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}

    private void writeQueuedLines() {
        long reported = 0;
        try {
            while (true) {
                String line = queue.take();
                long dropped = droppedCount.get();
                if (dropped > reported) {
                    out.println("{\"name\":\"LINES_DROPPED\",\"lines\":" + (dropped - reported) + "}");
                    reported = dropped;
                }
                out.println(line);
                if (queue.isEmpty()) {
                    out.flush();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
