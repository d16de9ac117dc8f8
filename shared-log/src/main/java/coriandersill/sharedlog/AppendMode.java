package coriandersill.sharedlog;

/** What a {@link BatchingAppender} does with a record when the log fails. */
public enum AppendMode {
    /** The record is sent once: a failure is told at once, and a lost answer as {@code ran UNKNOWN}. */
    AT_MOST_ONCE,
    /** The record is idempotent for its readers: it is sent again until it is acknowledged or has waited too long. */
    AT_LEAST_ONCE
}
