package coriandersill.relay.internal;

import coriandersill.core.BodyMemory;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Splits a byte stream into server-sent events and buffers the incomplete event at its end, whose memory it accounts
 * for. Lines end with a line feed, a carriage return, or both, and a byte-order mark may precede the first (WHATWG
 * HTML, section 9.2.5).
 *
 * <p>Not thread-safe.
 */
final class EventSplitter {
    /** The id of an event without a numeric {@code id} field. */
    static final long NO_ID = -1;

    /** The maximum size of an event; far above that of the tokens of one event. */
    static final int MAX_EVENT_BYTES = 256 << 10;

    /**
     * The size up to which an event needs no memory of those that all calls share, so that bodies of other calls cannot
     * break a running stream off.
     */
    private static final int UNACCOUNTED_EVENT_BYTES = 8 << 10;

    /** The memory of an incomplete event is at most its bytes times this, since its array doubles as it grows. */
    private static final int MEMORY_PER_BYTE = 2;

    /** The byte-order mark of UTF-8, as decoded byte by byte. */
    private static final String BYTE_ORDER_MARK = "\u00ef\u00bb\u00bf";

    private static final Pattern LINE_END = Pattern.compile("\r\n|\n|\r");

    private final BodyMemory memory;
    private Buffer remainder = Buffer.buffer();

    /** The bytes that {@link #remainder} has taken from {@link #memory}. */
    private int acquiredBytes;

    private boolean withoutMemory;

    /** The index in {@link #remainder} up to which it was searched for the end of the event. */
    private int scanned;

    /** The index at which the last line starts that was searched. */
    private int lineStart;

    /**
     * Whether the byte before {@link #scanned} is a carriage return, so that a line feed belongs to the same line end.
     */
    private boolean afterCarriageReturn;

    /** Whether the current event has a complete line that is neither empty nor a comment. */
    private boolean hasField;

    /** Whether no line has ended yet, so that the current one may begin with a byte-order mark. */
    private boolean inFirstLine = true;

    /** Returns a splitter whose incomplete event takes its bytes from {@code memory}. */
    EventSplitter(BodyMemory memory) {
        this.memory = memory;
    }

    /**
     * An event.
     *
     * @param id the value of its {@code id} field, {@link #NO_ID} without a number
     * @param hasField whether it has a line that is neither empty nor a comment; without one it carries nothing
     * @param bytes its bytes, including the empty line that terminates it
     */
    record Event(long id, boolean hasField, Buffer bytes) {}

    /** Appends bytes and returns the events that they complete. */
    List<Event> feed(Buffer more) {
        Buffer bytes = remainder.appendBuffer(more);
        List<Event> events = new ArrayList<>();
        int start = 0;
        for (int end = endOfEvent(bytes); end >= 0; end = endOfEvent(bytes)) {
            Buffer event = bytes.getBuffer(start, end);
            events.add(new Event(parseId(event), hasField, event));
            hasField = false;
            start = end;
        }
        if (start > 0) {
            remainder = bytes.getBuffer(start, bytes.length());
            scanned -= start;
            lineStart -= start;
        }
        accountForRemainder();
        return events;
    }

    /** Returns the bytes after the last complete event. */
    Buffer remainder() {
        return remainder;
    }

    /**
     * Returns whether the stream, if it ended now, would end within a line or before the empty line of its last event.
     */
    boolean isInsideEvent() {
        return hasField || contentStart(remainder) < remainder.length();
    }

    /** Returns why the incomplete event must not grow further; empty if it may. */
    Optional<String> excess() {
        if (remainder.length() > MAX_EVENT_BYTES) {
            return Optional.of("event: expected at most " + MAX_EVENT_BYTES + " bytes, found more");
        }
        return withoutMemory
                ? Optional.of("event: no memory for the incomplete events of further streams")
                : Optional.empty();
    }

    /** Releases the memory; called once the stream has ended, any number of times. */
    void release() {
        memory.release(acquiredBytes);
        acquiredBytes = 0;
    }

    private void accountForRemainder() {
        int accountedBytes = MEMORY_PER_BYTE * Math.max(0, remainder.length() - UNACCOUNTED_EVENT_BYTES);
        int moreBytes = accountedBytes - acquiredBytes;
        if (moreBytes > 0 && !memory.tryAcquire(moreBytes)) {
            withoutMemory = true;
            return;
        }
        if (moreBytes < 0) {
            memory.release(-moreBytes);
        }
        acquiredBytes = accountedBytes;
    }

    /** Returns the index after the empty line that ends the current event, or -1 if it is incomplete. */
    private int endOfEvent(Buffer bytes) {
        while (scanned < bytes.length()) {
            int index = scanned++;
            byte current = bytes.getByte(index);
            if (current == '\n' && afterCarriageReturn) {
                afterCarriageReturn = false;
                lineStart = scanned;
                continue;
            }
            afterCarriageReturn = current == '\r';
            if ((current == '\n' || current == '\r') && endLine(bytes, index)) {
                includeLineFeed(bytes);
                return scanned;
            }
        }
        return -1;
    }

    /** Ends the line before {@code end}; returns whether it is empty. */
    private boolean endLine(Buffer bytes, int end) {
        int start = contentStart(bytes);
        inFirstLine = false;
        lineStart = end + 1;
        boolean empty = start == end;
        hasField |= !empty && bytes.getByte(start) != ':';
        return empty;
    }

    /** Adds the line feed after a carriage return to the event that ends with it, if it was received with it. */
    private void includeLineFeed(Buffer bytes) {
        if (afterCarriageReturn && scanned < bytes.length() && bytes.getByte(scanned) == '\n') {
            afterCarriageReturn = false;
            scanned++;
            lineStart = scanned;
        }
    }

    /** Returns the index after the byte-order mark of the current line, if it has one. */
    private int contentStart(Buffer bytes) {
        int markEnd = lineStart + BYTE_ORDER_MARK.length();
        boolean marked = inFirstLine
                && markEnd <= bytes.length()
                && bytes.getString(lineStart, markEnd, StandardCharsets.ISO_8859_1.name())
                        .equals(BYTE_ORDER_MARK);
        return marked ? markEnd : lineStart;
    }

    private static long parseId(Buffer event) {
        String text = event.toString(StandardCharsets.ISO_8859_1);
        String content = text.startsWith(BYTE_ORDER_MARK) ? text.substring(BYTE_ORDER_MARK.length()) : text;
        for (String line : LINE_END.split(content, -1)) {
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
