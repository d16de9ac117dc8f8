package coriandersill.connections;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Passes the reads of a connection on in slices, and keeps them back while its time on the event loop is used up.
 * Confined to the event loop of the connection.
 */
final class ReadThrottle {
    /** Decoded at once. */
    private static final int SLICE_BYTES = 2_048;

    private final GuardedPort port;
    private final BooleanSupplier closing;
    private final Decoder decoder;
    private final ReadCredit credit;
    private final Deque<Object> delayedReads = new ArrayDeque<>();
    private boolean delayed;

    /** Whether this class has turned the reading of the channel off, rather than Vert.x. */
    private boolean channelPaused;

    /** Decodes a part of what was read. */
    @FunctionalInterface
    interface Decoder {
        /** Takes over the reference to {@code message}. */
        void decode(ChannelHandlerContext ctx, Object message);
    }

    /**
     * Creates the throttle of one connection.
     *
     * @param closing whether the connection is closing, so that nothing is decoded any more
     */
    ReadThrottle(GuardedPort port, BooleanSupplier closing, Decoder decoder) {
        this.port = port;
        this.closing = closing;
        this.decoder = decoder;
        this.credit = new ReadCredit(port.now());
    }

    /** Returns whether reads are kept back. */
    boolean isDelayed() {
        return delayed;
    }

    /** Decodes what was read, or keeps it back. */
    void read(ChannelHandlerContext ctx, Object message) {
        if (closing.getAsBoolean()) {
            ReferenceCountUtil.release(message);
        } else if (delayed) {
            // Vert.x wants to read again although the time of this connection is used up.
            delayedReads.addLast(message);
            pauseChannel(ctx);
        } else if (!delayedReads.isEmpty()) {
            delayedReads.addLast(message);
        } else {
            decodeInSlices(ctx, message);
        }
    }

    /** Tells the next handlers that a read is complete, and delays the next one if the credit is overdrawn. */
    void readComplete(ChannelHandlerContext ctx) {
        ctx.fireChannelReadComplete();
        delayIfOverdrawn(ctx);
    }

    /** Releases the reads that were kept back. */
    void release() {
        while (!delayedReads.isEmpty()) {
            ReferenceCountUtil.release(delayedReads.removeFirst());
        }
    }

    /** Decodes slice by slice, and keeps the rest once the time of this connection is used up. */
    private void decodeInSlices(ChannelHandlerContext ctx, Object message) {
        if (!(message instanceof ByteBuf bytes)) {
            decode(ctx, message);
            return;
        }
        while (bytes.readableBytes() > SLICE_BYTES && !credit.isOverdrawn() && !closing.getAsBoolean()) {
            decode(ctx, bytes.readRetainedSlice(SLICE_BYTES));
        }
        if (closing.getAsBoolean()) {
            bytes.release();
        } else if (!credit.isOverdrawn()) {
            decode(ctx, bytes);
        } else {
            // The rest comes before what was read after it.
            delayedReads.addFirst(bytes);
        }
    }

    private void decode(ChannelHandlerContext ctx, Object message) {
        long startNanos = port.now();
        credit.refill(startNanos, port.delayedConnections());
        decoder.decode(ctx, message);
        credit.use(port.now() - startNanos);
    }

    /** Called after Vert.x has decided whether it wants to read, so that its decision is kept. */
    private void delayIfOverdrawn(ChannelHandlerContext ctx) {
        if (delayed || !credit.isOverdrawn() || !ctx.channel().isActive()) {
            return;
        }
        delayed = true;
        pauseChannel(ctx);
        long delayNanos = credit.delayNanos(port.readDelayed());
        ctx.executor().schedule(() -> resume(ctx), delayNanos, TimeUnit.NANOSECONDS);
    }

    private void pauseChannel(ChannelHandlerContext ctx) {
        if (ctx.channel().config().isAutoRead()) {
            channelPaused = true;
            ctx.channel().config().setAutoRead(false);
        }
    }

    private void resume(ChannelHandlerContext ctx) {
        port.readResumed();
        delayed = false;
        credit.settle(port.now());
        if (!ctx.channel().isActive()) {
            release();
            return;
        }
        if (channelPaused) {
            channelPaused = false;
            ctx.channel().config().setAutoRead(true);
        }
        while (!delayed && !closing.getAsBoolean() && !delayedReads.isEmpty()) {
            decodeInSlices(ctx, delayedReads.removeFirst());
            readComplete(ctx);
        }
    }
}
