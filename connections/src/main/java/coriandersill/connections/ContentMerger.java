package coriandersill.connections;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;

/**
 * Passes the contents of small chunks on together, since each one costs as much as a large one. Confined to the event
 * loop of the connection.
 */
final class ContentMerger {
    /** The size up to which contents are merged. */
    static final int MAX_MERGED_BYTES = 1_024;

    /** Merged contents of this size are passed on. */
    private static final int FULL_BYTES = 2_048;

    private ByteBuf merged;

    /** Adds a content; takes over the reference to it. */
    void add(ChannelHandlerContext ctx, HttpContent content) {
        if (merged == null) {
            merged = ctx.alloc().buffer(FULL_BYTES);
        }
        merged.writeBytes(content.content());
        content.release();
        if (merged.readableBytes() >= FULL_BYTES) {
            pass(ctx);
        }
    }

    /** Passes on what was added. */
    void pass(ChannelHandlerContext ctx) {
        if (merged != null) {
            ByteBuf passed = merged;
            merged = null;
            ctx.fireChannelRead(new DefaultHttpContent(passed));
        }
    }

    /** Releases what was added and not passed on. */
    void release() {
        if (merged != null) {
            merged.release();
            merged = null;
        }
    }
}
