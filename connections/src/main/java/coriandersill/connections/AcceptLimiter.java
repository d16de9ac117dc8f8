package coriandersill.connections;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;

/**
 * Stops accepting while too many connections are open, so that those that are accepted but not handled yet take no
 * descriptors without limit: connections are accepted on another thread than they are handled on. Clients wait in the
 * backlog of the operating system meanwhile. Confined to the event loop that accepts.
 */
final class AcceptLimiter extends ChannelInboundHandlerAdapter {
    /** Connections above the maximum of the port, for which it closes others. */
    private static final int MARGIN = 8;

    /** The descriptor of a closed connection is released only when the event loop polls again. */
    private static final long RESUME_DELAY_MILLIS = 10;

    private final int maxOpen;
    private int open;
    private boolean resuming;

    AcceptLimiter(int maxConnections) {
        this.maxOpen = maxConnections + MARGIN;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof Channel accepted) {
            open++;
            accepted.closeFuture().addListener(closed -> {
                // A stop of the process ends the accepting loop before the last connections.
                if (!ctx.executor().isShuttingDown()) {
                    ctx.executor().execute(() -> {
                        open--;
                        resumeLater(ctx);
                    });
                }
            });
            if (open >= maxOpen) {
                ctx.channel().config().setAutoRead(false);
            }
        }
        ctx.fireChannelRead(message);
    }

    private void resumeLater(ChannelHandlerContext ctx) {
        if (resuming || ctx.channel().config().isAutoRead()) {
            return;
        }
        resuming = true;
        ctx.executor()
                .schedule(
                        () -> {
                            resuming = false;
                            if (open < maxOpen) {
                                ctx.channel().config().setAutoRead(true);
                            }
                        },
                        RESUME_DELAY_MILLIS,
                        TimeUnit.MILLISECONDS);
    }
}
