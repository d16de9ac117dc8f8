package coriandersill.sharedlog;

import coriandersill.core.CallFailure;

/** What a {@link LogFollower} tells about the stream besides its records. */
public sealed interface LogNotice {

    /**
     * Offsets are missing between two records that the log gave.
     *
     * @param expected the first missing offset
     * @param found the next offset that is there
     */
    record Gap(long expected, long found) implements LogNotice {}

    /**
     * The log gave a record again; it was not handed on.
     *
     * @param offset the record's offset
     */
    record Repeated(long offset) implements LogNotice {}

    /**
     * The stream ends before an offset that was read earlier: its offsets have restarted.
     *
     * @param expected the offset that was to come next
     * @param end the stream's end now
     */
    record Restarted(long expected, long end) implements LogNotice {}

    /**
     * Records aged out before they were read.
     *
     * @param from the first offset that is lost
     * @param oldest the oldest offset that is kept
     */
    record Trimmed(long from, long oldest) implements LogNotice {}

    /**
     * The log does not answer; told for the first failure in a row.
     *
     * @param failure the failure
     */
    record Unavailable(CallFailure failure) implements LogNotice {}

    /** The log answers again. */
    record Available() implements LogNotice {}

    /**
     * The handler threw for a record, which is not handed to it again.
     *
     * @param offset the record's offset
     * @param failure what the handler threw
     */
    record HandlerFailed(long offset, CallFailure failure) implements LogNotice {}
}
