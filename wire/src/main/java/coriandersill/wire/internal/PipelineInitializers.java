package coriandersill.wire.internal;

import coriandersill.wire.WireListener;
import coriandersill.wire.WireSettings;
import coriandersill.wire.proto.Frames;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLException;

/** Creates the channel initializers that build the pipelines of wire connections. */
public final class PipelineInitializers {
    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int MAX_CONSOLIDATED_FLUSHES = 64;

    private PipelineInitializers() {}

    /** Returns the initializer for connections that a server accepts. */
    public static ChannelInitializer<SocketChannel> forServer(WireSettings settings, WireListener listener) {
        return new PipelineInitializer(settings, listener, serverTls(settings));
    }

    /** Returns the initializer for connections that a client opens. */
    public static ChannelInitializer<SocketChannel> forClient(WireSettings settings, WireListener listener) {
        return new PipelineInitializer(settings, listener, clientTls(settings));
    }

    private static Optional<SslContext> serverTls(WireSettings settings) {
        return settings.tls().map(tls -> {
            try {
                return SslContextBuilder.forServer(tls.certificateChain(), tls.privateKey())
                        .trustManager(tls.trustedCertificates())
                        .clientAuth(ClientAuth.REQUIRE)
                        .build();
            } catch (SSLException e) {
                throw new IllegalArgumentException("wire.tls: expected readable PEM files, found " + e.getMessage(), e);
            }
        });
    }

    private static Optional<SslContext> clientTls(WireSettings settings) {
        return settings.tls().map(tls -> {
            try {
                return SslContextBuilder.forClient()
                        .keyManager(tls.certificateChain(), tls.privateKey())
                        .trustManager(tls.trustedCertificates())
                        .endpointIdentificationAlgorithm(null)
                        .build();
            } catch (SSLException e) {
                throw new IllegalArgumentException("wire.tls: expected readable PEM files, found " + e.getMessage(), e);
            }
        });
    }

    private static final class PipelineInitializer extends ChannelInitializer<SocketChannel> {
        private final WireSettings settings;
        private final WireListener listener;
        private final Optional<SslContext> tls;

        PipelineInitializer(WireSettings settings, WireListener listener, Optional<SslContext> tls) {
            this.settings = settings;
            this.listener = listener;
            this.tls = tls;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            ChannelPipeline pipeline = channel.pipeline();
            tls.ifPresent(context -> pipeline.addLast(context.newHandler(channel.alloc())));
            pipeline.addLast(new IdleStateHandler(settings.idleTimeout().toMillis(), 0, 0, TimeUnit.MILLISECONDS));
            boolean consolidateWhenNoReadInProgress = true;
            pipeline.addLast(new FlushConsolidationHandler(MAX_CONSOLIDATED_FLUSHES, consolidateWhenNoReadInProgress));
            pipeline.addLast(new LengthFieldBasedFrameDecoder(
                    settings.maxFrameBytes(), 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES));
            pipeline.addLast(new ProtobufDecoder(Frames.Frame.getDefaultInstance()));
            pipeline.addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
            pipeline.addLast(new ProtobufEncoder());
            pipeline.addLast(new ConnectionHandler(settings, listener));
        }
    }
}
