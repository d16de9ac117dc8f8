package coriandersill.catalog;

/** The kinds of calls, which determine whether a call may be executed more than once. */
public enum CallKind {
    /** May be executed any number of times. */
    IDEMPOTENT,
    /** Must be executed at most once for each request of a caller. */
    AT_MOST_ONCE,
    /** The event stream of a generation; executed at most once unless the route is resumable. */
    GENERATION
}
