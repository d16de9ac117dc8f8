package coriandersill.catalog;

/** What may be repeated of a route's calls. */
public enum CallKind {
    /** May run any number of times. */
    IDEMPOTENT,
    /** Runs at most once for each attempt of a caller. */
    AT_MOST_ONCE,
    /** A stream of events from one generation; runs at most once unless the route says that it may be resumed. */
    GENERATION
}
