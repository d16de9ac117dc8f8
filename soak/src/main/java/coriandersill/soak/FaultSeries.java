package coriandersill.soak;

import java.util.List;

/** Faults of one kind, injected from the start until the stop. */
interface FaultSeries {
    /** Starts to inject faults. */
    void start();

    /**
     * Injects no more faults, waits for the active ones to end, and returns descriptions of the faults and of failures
     * to inject or end one.
     */
    List<String> stop() throws InterruptedException;
}
