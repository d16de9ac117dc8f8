package coriandersill.sharedlog;

/** What a {@link BatchingAppender} does with a record when an append fails. */
public enum AppendMode {
    /** The record is sent once: a failure is reported immediately, and a lost response as {@code ran UNKNOWN}. */
    AT_MOST_ONCE,
    /**
     * The record is idempotent for its readers: it is retried until it is acknowledged or its maximum wait has passed.
     */
    AT_LEAST_ONCE
}
