package coriandersill.sharedlog;

/** What a {@link BatchingAppender} does with a record when an append fails. */
public enum AppendMode {
    /**
     * The record is sent at most once. It fails at the first failed append: with {@link coriandersill.core.Ran#NO} if
     * it was certainly not appended, with {@link coriandersill.core.Ran#UNKNOWN} if the response was lost.
     */
    AT_MOST_ONCE,
    /**
     * The record is idempotent for its readers: it is retried until it is acknowledged or its maximum wait has passed.
     */
    AT_LEAST_ONCE
}
