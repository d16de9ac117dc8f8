package coriandersill.responses;

/** What the orders to stop a run say about the end of its stream. */
public enum StopEvidence {
    /** No order can have stopped the run. */
    NONE,
    /** Only orders whose answer is still awaited can have stopped the run. */
    UNDECIDED,
    /** An order has stopped the run, or may have. */
    POSSIBLE
}
