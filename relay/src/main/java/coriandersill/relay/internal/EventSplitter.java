package coriandersill.relay.internal;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts the bytes of a stream into whole server-sent events and keeps what follows the last whole one.
 *
 * <p>Not safe for use by many threads.
 */
final class EventSplitter {
    /** The identifier of an event that names none. */
    static final long NO_ID = -1;

    private Buffer rest = Buffer.buffer();

    /** An event's bytes, with the empty line that ends it. */
    record Event(long id, Buffer bytes) {}

    /** Takes more bytes and returns the events that are whole now. */
    List<Event> feed(Buffer more) {
        Buffer bytes = rest.length() == 0 ? more : rest.appendBuffer(more);
        List<Event> events = new ArrayList<>();
        int start = 0;
        for (int end = endOfEvent(bytes, start); end >= 0; end = endOfEvent(bytes, start)) {
            Buffer event = bytes.getBuffer(start, end);
            events.add(new Event(id(event), event));
            start = end;
        }
        rest = start == 0 ? bytes.copy() : bytes.getBuffer(start, bytes.length());
        return events;
    }

    /** Returns the bytes after the last whole event. */
    Buffer rest() {
        return rest;
    }

    /** Returns the index after the empty line that ends the event at {@code from}, or -1. */
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

    private static long id(Buffer event) {
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
