package coriandersill.admission;

/** How an admitted or waiting request ended. */
public enum Completion {
    /** The upstream completed it. */
    FINISHED,
    /** The caller or the entry cancelled it. */
    CANCELLED,
    /** The upstream failed it. */
    FAILED
}
