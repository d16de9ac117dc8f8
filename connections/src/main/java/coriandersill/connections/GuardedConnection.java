package coriandersill.connections;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http2.Http2ConnectionHandler;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One connection of a {@link GuardedPort}: counts what it sends, occupies and costs, and closes it for a
 * {@link CloseReason}. Reads the bytes of the connection before any decoder. Confined to the event loop of the
 * connection, except {@link #usage}.
 */
final class GuardedConnection extends ChannelDuplexHandler {
    static final AttributeKey<GuardedConnection> KEY = AttributeKey.valueOf("coriandersill.connection");

    private static final int MIN_READ_BYTES = 512;
    private static final int FIRST_READ_BYTES = 2_048;

    /** Small, since the event loop serves nobody else until a read is decoded. */
    private static final int MAX_READ_BYTES = 16_384;

    /** Smaller writes are not observed until the caller has read them. */
    private static final int MIN_OBSERVED_WRITE_BYTES = 16_384;

    /** The colon and the end of a header line; a space after the colon is not counted. */
    private static final int LINE_FRAMING_BYTES = 3;

    private final GuardedPort port;
    private final ConnectionMemory memory = new ConnectionMemory();
    private final RequestProgress request = new RequestProgress();
    private final HeadMemory heads;
    private final ReadThrottle reads;
    private final UnreadStream unread;
    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicLong recentBytes = new AtomicLong();
    private ChannelHandlerContext context;
    private boolean closing;

    /** Whether the response in progress is written piece by piece. */
    private boolean streaming;

    private volatile boolean decoding;
    private volatile boolean responding;
    private volatile long lastTransferNanos;

    GuardedConnection(GuardedPort port) {
        this.port = port;
        this.heads = new HeadMemory(port.memory(), memory, this::isClosing);
        this.unread = new UnreadStream(port.memory(), memory);
        this.reads = new ReadThrottle(port, this::isClosing, this::decode);
        this.lastTransferNanos = port.now();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        added.channel().attr(KEY).set(this);
        AdaptiveRecvByteBufAllocator allocator =
                new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES);
        allocator.maxMessagesPerRead(1);
        added.channel().config().setRecvByteBufAllocator(allocator);
    }

    /** Returns the memory that this connection occupies. */
    ConnectionMemory memory() {
        return memory;
    }

    /** Returns whether the connection is closed or will be once its refusal is written. */
    boolean isClosing() {
        return closing;
    }

    /** Returns what this connection occupies and how it advances. */
    ConnectionUsage usage(long nowNanos) {
        boolean running = decoding
                ? calls.get() > 0 && !request.isReadingBody() && memory.unreadBytes() == 0
                : activeStreams() > 0;
        return new ConnectionUsage(
                memory.heldBytes(),
                recentBytes.get(),
                TimeUnit.NANOSECONDS.toMillis(Math.max(0, nowNanos - lastTransferNanos)),
                running);
    }

    /** Returns the open streams of a connection of version 2 of HTTP. */
    private int activeStreams() {
        Http2ConnectionHandler handler = context.pipeline().get(Http2ConnectionHandler.class);
        return handler == null ? 0 : handler.connection().numActiveStreams();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        reads.read(ctx, message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        reads.readComplete(ctx);
    }

    private void decode(ChannelHandlerContext ctx, Object message) {
        lastTransferNanos = port.now();
        if (message instanceof ByteBuf bytes) {
            recentBytes.addAndGet(bytes.readableBytes());
            if (!account(bytes)) {
                ReferenceCountUtil.release(message);
                return;
            }
        }
        ctx.fireChannelRead(message);
    }

    /** Counts bytes of a request before they are decoded; returns false if the connection is closed for them. */
    private boolean account(ByteBuf bytes) {
        if (!decoding) {
            return true;
        }
        Optional<CloseReason> overLimit = request.add(bytes.readableBytes(), port.limits(), port.now());
        if (overLimit.isPresent()) {
            return refuse(overLimit.get());
        }
        if (request.isKeptByDecoder() && !heads.tryHold(bytes)) {
            return refuse(CloseReason.NO_MEMORY);
        }
        return true;
    }

    /** Returns the handler that observes decoded requests and responses; it belongs after the decoder. */
    MessageObserver observer() {
        decoding = true;
        return new MessageObserver(this);
    }

    /** Called when a request head was decoded; returns false if it is refused. */
    boolean headDecoded(HttpRequest decoded) {
        if (headBytes(decoded) > port.limits().maxHeadBytes()) {
            return refuse(CloseReason.HEAD_TOO_LARGE);
        }
        calls.incrementAndGet();
        request.headDecoded(HttpUtil.isTransferEncodingChunked(decoded));
        heads.headDecoded();
        return true;
    }

    /** Called when a part of a body was decoded, after which the decoder keeps nothing of its framing. */
    void contentDecoded() {
        if (request.contentDecoded()) {
            heads.releaseFraming();
        }
    }

    /** Called when the end of a body was decoded. */
    void bodyDecoded() {
        request.bodyDecoded();
    }

    /** Called when the head of a response is written; {@code whole} if its body is written with it. */
    void responseStarted(boolean whole) {
        responding = true;
        streaming = !whole;
        if (whole) {
            unread.release();
        }
    }

    /** Called when the end of a response is written. */
    void responseWritten() {
        responding = false;
        streaming = false;
        unread.release();
        calls.updateAndGet(open -> Math.max(0, open - 1));
        request.responseWritten(port.now());
        heads.release();
    }

    private void accountStream() {
        ChannelOutboundBuffer queue = context.channel().unsafe().outboundBuffer();
        if (streaming && queue != null && !closing) {
            unread.update(queue.totalPendingWriteBytes());
        }
    }

    /** Returns the size of the header lines of a request with their ends. */
    private static long headBytes(HttpRequest request) {
        long bytes = 0;
        for (Map.Entry<String, String> header : request.headers()) {
            bytes += header.getKey().length() + header.getValue().length() + LINE_FRAMING_BYTES;
        }
        return bytes;
    }

    /** Closes the connection, or refuses its request, if it is late. */
    void checkTime(long nowNanos) {
        recentBytes.set(recentBytes.get() / 2);
        accountStream();
        RequestLimits limits = port.limits();
        boolean idle = nowNanos - lastTransferNanos > limits.idleTimeout().toNanos();
        if (!decoding) {
            if (idle && activeStreams() == 0) {
                refuse(CloseReason.IDLE);
            }
        } else if (request.isReadingBody()) {
            if (idle && !reads.isDelayed()) {
                refuse(CloseReason.BODY_TIMEOUT);
            }
        } else if (calls.get() == 0 && request.isHeadLate(limits, nowNanos)) {
            refuse(CloseReason.HEAD_TIMEOUT);
        } else if (calls.get() == 0 && idle) {
            refuse(CloseReason.IDLE);
        }
    }

    /** Closes the connection; a request that was not completely received is refused. Returns false. */
    boolean refuse(CloseReason reason) {
        if (closing) {
            return false;
        }
        closing = true;
        port.closed(reason);
        boolean receiving = decoding && request.isReceiving();
        boolean othersRun = responding || calls.get() > (request.isReadingBody() ? 1 : 0);
        if (receiving
                && !othersRun
                && !reason.status().isEmpty()
                && context.channel().isWritable()) {
            String response = "HTTP/1.1 " + reason.status() + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
            context.writeAndFlush(Unpooled.copiedBuffer(response, StandardCharsets.US_ASCII))
                    .addListener(ChannelFutureListener.CLOSE);
        } else {
            context.close();
        }
        release();
        return false;
    }

    private void release() {
        memory.release();
        reads.release();
        heads.release();
        unread.release();
        port.remove(this);
    }

    /** Runs an action on the event loop of this connection. */
    void execute(Runnable action) {
        if (context.executor().inEventLoop()) {
            action.run();
        } else {
            context.executor().execute(action);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closing = true;
        release();
        ctx.fireChannelInactive();
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (closing) {
            // The request was refused already; a second response must not follow.
            ReferenceCountUtil.release(message);
            promise.tryFailure(new ClosedChannelException());
        } else if (message instanceof ByteBuf bytes && bytes.readableBytes() >= MIN_OBSERVED_WRITE_BYTES) {
            int size = bytes.readableBytes();
            ctx.write(message, promise.unvoid().addListener(written -> {
                lastTransferNanos = port.now();
                recentBytes.addAndGet(size);
            }));
        } else {
            // The events of a stream; whether its caller reads shows in whether more can be written.
            if (ctx.channel().isWritable()) {
                lastTransferNanos = port.now();
            }
            ctx.write(message, promise);
        }
    }

    @Override
    public void flush(ChannelHandlerContext ctx) {
        ctx.flush();
        // Only what the network has not taken yet counts as unread.
        accountStream();
    }
}
