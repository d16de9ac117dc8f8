package coriandersill.connections;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Tells a {@link GuardedConnection} where decoded requests, and responses before they are encoded, begin and end.
 * Belongs after the decoder of version 1 of HTTP. Confined to the event loop of the connection.
 */
final class MessageObserver extends ChannelDuplexHandler {
    private final GuardedConnection connection;
    private final ContentMerger merger = new ContentMerger();

    MessageObserver(GuardedConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        merger.pass(ctx);
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        merger.release();
        ctx.fireChannelInactive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        boolean refused =
                connection.isClosing() || (message instanceof HttpRequest request && !connection.headDecoded(request));
        if (refused) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof HttpContent content && content.content().isReadable()) {
            connection.contentDecoded();
            boolean small = content.content().readableBytes() <= ContentMerger.MAX_MERGED_BYTES;
            if (small && !(message instanceof LastHttpContent)) {
                merger.add(ctx, content);
                return;
            }
        }
        merger.pass(ctx);
        if (message instanceof LastHttpContent) {
            connection.bodyDecoded();
        }
        ctx.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        boolean interim = message instanceof HttpResponse response
                && response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                && !HttpResponseStatus.SWITCHING_PROTOCOLS.equals(response.status());
        if (message instanceof HttpResponse && !interim) {
            connection.responseStarted(message instanceof LastHttpContent);
        }
        if (message instanceof LastHttpContent && !interim) {
            ctx.write(message, promise.unvoid().addListener(written -> connection.responseWritten()));
        } else {
            ctx.write(message, promise);
        }
    }
}
