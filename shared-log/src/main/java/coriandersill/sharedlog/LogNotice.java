package coriandersill.sharedlog;

import coriandersill.core.CallFailure;

/** What a {@link LogFollower} reports about a stream, besides its records. */
public sealed interface LogNotice {

    /**
     * Offsets are missing between two records that the log returned.
     *
     * @param expected the first missing offset
     * @param found the next offset that is present
     */
    record Gap(long expected, long found) implements LogNotice {}

    /**
     * The log returned a record again; it was not delivered again.
     *
     * @param offset the record's offset
     */
    record Repeated(long offset) implements LogNotice {}

    /**
     * The stream ends before an offset that was read earlier: its offsets have restarted.
     *
     * @param expected the offset that was expected next
     * @param end the current end of the stream
     */
    record Restarted(long expected, long end) implements LogNotice {}

    /**
     * Records were deleted by retention before they were read.
     *
     * @param from the first lost offset
     * @param oldest the oldest retained offset
     */
    record Trimmed(long from, long oldest) implements LogNotice {}

    /**
     * The log does not respond; reported once per series of failures.
     *
     * @param failure the failure
     */
    record Unavailable(CallFailure failure) implements LogNotice {}

    /** The log responds again. */
    record Available() implements LogNotice {}

    /**
     * The handler threw an exception for a record; the record is not delivered again.
     *
     * @param offset the record's offset
     * @param failure what the handler threw
     */
    record HandlerFailed(long offset, CallFailure failure) implements LogNotice {}
}
