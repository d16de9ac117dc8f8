package coriandersill.admission;

/** How a request that had been admitted ended. */
public enum Completion {
    /** It ended by itself. */
    FINISHED,
    /** The caller or the entry gave it up. */
    CANCELLED,
    /** The upstream failed it. */
    FAILED
}
