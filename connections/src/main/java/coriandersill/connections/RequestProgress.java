package coriandersill.connections;

import java.util.Optional;

/**
 * How far the request that is being received has come, and whether its size or its time is over a limit. Reads no
 * clock. Confined to the event loop of the connection, except {@link #isReadingBody}.
 */
final class RequestProgress {
    private long headStartNanos;
    private long receivedBytes;
    private long framingBytes;
    private boolean chunked;
    private volatile boolean readingBody;

    /** Returns whether the head was decoded and the end of the body was not. */
    boolean isReadingBody() {
        return readingBody;
    }

    /** Returns whether a part of a request has arrived and its end has not. */
    boolean isReceiving() {
        return readingBody || receivedBytes > 0;
    }

    /** Returns whether the decoder keeps what arrives: a head, or the framing of chunks. */
    boolean isKeptByDecoder() {
        return !readingBody || chunked;
    }

    /** Counts bytes before they are decoded; returns why the request is refused, if its size is over a limit. */
    Optional<CloseReason> add(int bytes, RequestLimits limits, long nowNanos) {
        if (receivedBytes == 0) {
            headStartNanos = nowNanos;
        }
        receivedBytes += bytes;
        if (readingBody) {
            return addToBody(bytes, limits);
        }
        return receivedBytes - bytes > limits.maxBytesBeforeBody()
                ? Optional.of(CloseReason.HEAD_TOO_LARGE)
                : Optional.empty();
    }

    /** Counts the bytes of a body; those of chunk extensions and trailers are kept by the decoder until their end. */
    private Optional<CloseReason> addToBody(int bytes, RequestLimits limits) {
        boolean framingTooLarge = chunked && framingBytes > limits.maxHeadBytes();
        if (framingTooLarge || receivedBytes > limits.maxFramedBodyBytes()) {
            return Optional.of(CloseReason.BODY_TOO_LARGE);
        }
        if (chunked) {
            framingBytes += bytes;
        }
        return Optional.empty();
    }

    /** Called when the head was decoded. */
    void headDecoded(boolean isChunked) {
        chunked = isChunked;
        framingBytes = 0;
        readingBody = true;
        receivedBytes = 0;
    }

    /** Called when a part of the body was decoded; returns whether the decoder kept framing until then. */
    boolean contentDecoded() {
        boolean kept = framingBytes > 0;
        framingBytes = 0;
        return kept;
    }

    /** Called when the end of the body was decoded. */
    void bodyDecoded() {
        readingBody = false;
        receivedBytes = 0;
    }

    /** Called when a response was written, from when on the time of the next head counts. */
    void responseWritten(long nowNanos) {
        headStartNanos = nowNanos;
    }

    /** Returns whether a head that has begun is not complete in time. */
    boolean isHeadLate(RequestLimits limits, long nowNanos) {
        long maxNanos = limits.headTimeout().toNanos() + GuardedPort.TIMEOUT_MARGIN.toNanos();
        return receivedBytes > 0 && nowNanos - headStartNanos > maxNanos;
    }
}
