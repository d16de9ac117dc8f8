package coriandersill.sidecar;

import coriandersill.core.CallFailure;
import coriandersill.wire.Message;
import java.util.Optional;

/** Decides whether a dispatch may run at all; implementations are safe for use by many threads. */
public interface DispatchCheck {

    /** Returns why an arriving dispatch is not even to wait, or nothing. */
    Optional<CallFailure> checkOnArrival(Message.Dispatch dispatch);

    /**
     * Returns why the dispatch may not be handed on, or nothing when it may; called once for each dispatch, as the last
     * step before its upstream.
     */
    Optional<CallFailure> checkBeforeUpstream(Message.Dispatch dispatch);

    /** Returns a check that lets every dispatch run. */
    static DispatchCheck none() {
        return new DispatchCheck() {
            @Override
            public Optional<CallFailure> checkOnArrival(Message.Dispatch dispatch) {
                return Optional.empty();
            }

            @Override
            public Optional<CallFailure> checkBeforeUpstream(Message.Dispatch dispatch) {
                return Optional.empty();
            }
        };
    }
}
