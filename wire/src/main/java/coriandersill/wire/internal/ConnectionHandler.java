package coriandersill.wire.internal;

import coriandersill.wire.Message;
import coriandersill.wire.PeerIdentity;
import coriandersill.wire.WireConnection;
import coriandersill.wire.WireListener;
import coriandersill.wire.WireSettings;
import coriandersill.wire.proto.Frames;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;

/**
 * Exchanges the hellos, then passes messages to the listener.
 *
 * <p>Closes the connection if the first message is not a hello with a common protocol version, if a frame is malformed
 * or if nothing is received within the idle timeout.
 */
final class ConnectionHandler extends SimpleChannelInboundHandler<Frames.Frame> {
    private static final System.Logger LOGGER = System.getLogger(ConnectionHandler.class.getName());

    private final WireSettings settings;
    private final WireListener listener;

    /** Null until the peer's hello has been accepted. */
    private NettyConnection connection;

    ConnectionHandler(WireSettings settings, WireListener listener) {
        this.settings = settings;
        this.listener = listener;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        Message hello = new Message.Hello(
                WireSettings.MAX_PROTOCOL_VERSION, WireSettings.MIN_PROTOCOL_VERSION, settings.self());
        context.writeAndFlush(MessageCodec.encode(hello));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frames.Frame frame) {
        Message message = MessageCodec.decode(frame);
        if (connection != null) {
            listener.onMessage(connection, message);
        } else if (message instanceof Message.Hello hello && supportsCommonVersion(hello)) {
            connection = new NettyConnection(context.channel(), hello.peer(), settings.maxFrameBytes());
            listener.onConnected(connection);
        } else {
            LOGGER.log(
                    System.Logger.Level.WARNING,
                    "wire connection with {0} rejected: expected a hello with protocol version {1} to {2}, found {3}",
                    context.channel().remoteAddress(),
                    WireSettings.MIN_PROTOCOL_VERSION,
                    WireSettings.MAX_PROTOCOL_VERSION,
                    message);
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (connection != null) {
            listener.onDisconnected(connection);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.log(
                System.Logger.Level.WARNING,
                "wire connection with {0} closed after an I/O or protocol error: {1}",
                context.channel().remoteAddress(),
                cause.toString());
        context.close();
    }

    private static boolean supportsCommonVersion(Message.Hello hello) {
        return hello.minProtocolVersion() <= WireSettings.MAX_PROTOCOL_VERSION
                && hello.maxProtocolVersion() >= WireSettings.MIN_PROTOCOL_VERSION;
    }

    /** A connection over one Netty channel. */
    private static final class NettyConnection implements WireConnection {
        private final Channel channel;
        private final PeerIdentity peer;
        private final int maxFrameBytes;

        NettyConnection(Channel channel, PeerIdentity peer, int maxFrameBytes) {
            this.channel = channel;
            this.peer = peer;
            this.maxFrameBytes = maxFrameBytes;
        }

        @Override
        public PeerIdentity peer() {
            return peer;
        }

        @Override
        public boolean send(Message message) {
            Frames.Frame frame = MessageCodec.encode(message);
            if (frame.getSerializedSize() > maxFrameBytes) {
                throw new IllegalArgumentException("wire frame to " + peer.instance() + ": expected at most "
                        + maxFrameBytes + " bytes, found " + frame.getSerializedSize());
            }
            channel.writeAndFlush(frame, channel.voidPromise());
            return channel.isWritable();
        }

        @Override
        public boolean isOpen() {
            return channel.isActive();
        }

        @Override
        public void close() {
            channel.close();
        }

        @Override
        public String toString() {
            return peer.instance() + "@" + channel.remoteAddress();
        }
    }
}
