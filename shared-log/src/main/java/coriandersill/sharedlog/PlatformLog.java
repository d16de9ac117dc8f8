package coriandersill.sharedlog;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The append-only log of the platform, divided into streams.
 *
 * <p>Failed futures carry a {@link coriandersill.core.CallFailure} of kind {@code LOG_UNAVAILABLE}, or
 * {@code INVALID_REQUEST} if the log rejects an append as invalid; {@link coriandersill.core.CallFailure#ran()} tells
 * whether an append may have taken effect.
 */
public interface PlatformLog {

    /** Appends records to a stream atomically and returns the offset of the first. */
    CompletableFuture<Long> append(String stream, List<byte[]> records);

    /**
     * Reads up to {@code limit} records, starting at offset {@code from}; if the stream ends there, the server holds
     * the request until a record is appended or the long poll times out.
     */
    CompletableFuture<LogPage> read(String stream, long from, int limit);
}
