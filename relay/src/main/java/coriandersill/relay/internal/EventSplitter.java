package coriandersill.relay.internal;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a byte stream into server-sent events and buffers the incomplete event at its end.
 *
 * <p>Not thread-safe.
 */
final class EventSplitter {
    /** The id of an event without a numeric {@code id} field. */
    static final long NO_ID = -1;

    private Buffer remainder = Buffer.buffer();

    /** An event; {@code bytes} includes the empty line that terminates it. */
    record Event(long id, Buffer bytes) {}

    /** Appends bytes and returns the events that they complete. */
    List<Event> feed(Buffer more) {
        Buffer bytes = remainder.length() == 0 ? more : remainder.appendBuffer(more);
        List<Event> events = new ArrayList<>();
        int start = 0;
        for (int end = endOfEvent(bytes, start); end >= 0; end = endOfEvent(bytes, start)) {
            Buffer event = bytes.getBuffer(start, end);
            events.add(new Event(parseId(event), event));
            start = end;
        }
        remainder = start == 0 ? bytes.copy() : bytes.getBuffer(start, bytes.length());
        return events;
    }

    /** Returns the bytes after the last complete event. */
    Buffer remainder() {
        return remainder;
    }

    /**
     * Returns the index after the empty line that ends the event starting at {@code from}, or -1 if it is incomplete.
     */
    private static int endOfEvent(Buffer bytes, int from) {
        int lineStart = from;
        for (int i = from; i < bytes.length(); i++) {
            if (bytes.getByte(i) != '\n') {
                continue;
            }
            boolean empty = i == lineStart || (i == lineStart + 1 && bytes.getByte(lineStart) == '\r');
            if (empty) {
                return i + 1;
            }
            lineStart = i + 1;
        }
        return -1;
    }

    private static long parseId(Buffer event) {
        for (String line : event.toString(StandardCharsets.ISO_8859_1).split("\n", -1)) {
            if (line.startsWith("id:")) {
                try {
                    return Long.parseLong(line.substring("id:".length()).trim());
                } catch (NumberFormatException notANumber) {
                    return NO_ID;
                }
            }
        }
        return NO_ID;
    }
}
