package coriandersill.sidecar;

import coriandersill.core.Ran;
import coriandersill.wire.Message;
import java.time.Duration;

/** Observes the ends of calls at the upstream; called on event loops, so implementations must not block. */
@FunctionalInterface
public interface CallObserver {

    /**
     * Called when an admitted call has ended, also if no connection to the upstream could be opened. Not called for a
     * plain call that was cancelled.
     *
     * @param target the target of the call
     * @param succeeded false if the call failed; true for a generation that was cancelled
     * @param ran whether the call ran
     * @param firstToken time from the start of the upstream call to the first token of a generation, or to the end of a
     *     plain call; zero for a generation without a token
     * @param tokens the number of tokens sent to the entry; 0 for a plain call
     * @param total time from the start of the upstream call to its end
     */
    void onCallEnded(
            Message.Target target, boolean succeeded, Ran ran, Duration firstToken, long tokens, Duration total);

    /** Returns an observer that does nothing. */
    static CallObserver none() {
        return (target, succeeded, ran, firstToken, tokens, total) -> {};
    }
}
