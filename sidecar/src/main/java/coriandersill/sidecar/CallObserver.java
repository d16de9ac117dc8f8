package coriandersill.sidecar;

import coriandersill.core.Ran;
import coriandersill.wire.Message;
import java.time.Duration;

/** Hears how calls at the upstream went; called on event loops, so implementations do not block. */
@FunctionalInterface
public interface CallObserver {

    /**
     * A call that had gone to the upstream ended.
     *
     * @param target what it was addressed to
     * @param succeeded whether it ended by itself without an error of the upstream
     * @param ran whether it ran
     * @param firstToken time from handing on to the first token or the answer; zero if there was none
     * @param tokens how many tokens it generated
     * @param total time from handing on to the end
     */
    void onCallEnded(
            Message.Target target, boolean succeeded, Ran ran, Duration firstToken, long tokens, Duration total);

    /** Returns an observer that forgets. */
    static CallObserver none() {
        return (target, succeeded, ran, firstToken, tokens, total) -> {};
    }
}
