package coriandersill.sharedlog;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's append-only log, by stream.
 *
 * <p>Failed futures carry a {@link coriandersill.core.CallFailure} of kind {@code LOG_UNAVAILABLE}; its {@code ran}
 * says whether an append may have taken effect.
 */
public interface PlatformLog {

    /** Appends records to a stream in one step and returns the offset of the first. */
    CompletableFuture<Long> append(String stream, List<byte[]> records);

    /**
     * Reads up to {@code limit} records from offset {@code from} on; waits on the server for the first if none is
     * there.
     */
    CompletableFuture<LogPage> read(String stream, long from, int limit);
}
