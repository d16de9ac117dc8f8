package coriandersill.soak;

import java.time.Duration;
import java.util.List;

/** Calls to entries, made from the start until the stop. */
interface Load {
    /** Starts to make calls. */
    void start();

    /** Returns the time within which a call must be answered: its deadline, or the route's timeout if it is shorter. */
    Duration maxAnswerTime(CallKind kind);

    /** Stops making calls, waits for open ones, and returns all results. */
    List<CallResult> stop() throws InterruptedException;
}
