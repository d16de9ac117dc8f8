package coriandersill.sharedlog;

import java.time.Instant;

/**
 * One record of a stream.
 *
 * @param offset its offset in the stream
 * @param time when the log appended it, by the log's clock
 * @param data its bytes, which callers must not modify
 */
@SuppressWarnings("ArrayRecordComponent")
public record LogRecord(long offset, Instant time, byte[] data) {}
