package coriandersill.connections;

import coriandersill.core.BodyMemory;
import io.netty.buffer.ByteBuf;
import java.util.function.BooleanSupplier;

/**
 * The memory that the request heads of one connection and the framing of its chunks occupy, on the account that all
 * connections of a port share. Confined to the event loop of the connection.
 */
final class HeadMemory {
    /** A header line occupies an entry with name, value and links, beside its characters. */
    private static final int HEADER_LINE_BYTES = 160;

    /** Characters of header lines exist twice, as received bytes and as text. */
    private static final int HEADER_BYTE_COPIES = 2;

    /** The lines of an ordinary request, which need no memory of that which all share. */
    private static final int UNACCOUNTED_HEAD_BYTES = 8 << 10;

    private final BodyMemory shared;
    private final ConnectionMemory connection;
    private final BooleanSupplier closing;
    private int heldBytes;

    /** The part of {@link #heldBytes} that is kept until the response; the rest is chunk framing. */
    private int requestBytes;

    /**
     * Creates the account of one connection.
     *
     * @param closing whether the connection is closing, so that it takes no memory any more
     */
    HeadMemory(BodyMemory shared, ConnectionMemory connection, BooleanSupplier closing) {
        this.shared = shared;
        this.connection = connection;
        this.closing = closing;
    }

    /** Takes memory for what the decoder keeps of {@code bytes}; returns false if there is none. */
    boolean tryHold(ByteBuf bytes) {
        int cost = HEADER_BYTE_COPIES * bytes.readableBytes() + HEADER_LINE_BYTES * countLines(bytes);
        int added = accounted(heldBytes + cost) - accounted(heldBytes);
        if (added > 0 && !shared.tryAcquire(added)) {
            return false;
        }
        // The attempt may have closed this connection itself.
        if (closing.getAsBoolean()) {
            shared.release(added);
            return false;
        }
        heldBytes += cost;
        connection.addHeld(added);
        return true;
    }

    /** Called when a request head was decoded: what is held until then is kept until the response. */
    void headDecoded() {
        requestBytes = heldBytes;
    }

    /** Gives back the memory of chunk framing. */
    void releaseFraming() {
        keep(Math.min(heldBytes, requestBytes));
    }

    /** Gives back all memory. */
    void release() {
        keep(0);
    }

    private void keep(int keptBytes) {
        int released = accounted(heldBytes) - accounted(keptBytes);
        heldBytes = keptBytes;
        connection.addHeld(-released);
        shared.release(released);
    }

    private static int accounted(int bytes) {
        return Math.max(0, bytes - UNACCOUNTED_HEAD_BYTES);
    }

    private static int countLines(ByteBuf bytes) {
        int lines = 0;
        int end = bytes.writerIndex();
        for (int from = bytes.readerIndex(); from < end; lines++) {
            int lineEnd = bytes.indexOf(from, end, (byte) '\n');
            if (lineEnd < 0) {
                break;
            }
            from = lineEnd + 1;
        }
        return lines;
    }
}
