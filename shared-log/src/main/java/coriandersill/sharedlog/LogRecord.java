package coriandersill.sharedlog;

import java.time.Instant;

/**
 * One record of a stream.
 *
 * @param offset its place in the stream
 * @param time when the log took it, by the log's clock
 * @param data its bytes; callers do not change them
 */
@SuppressWarnings("ArrayRecordComponent")
public record LogRecord(long offset, Instant time, byte[] data) {}
