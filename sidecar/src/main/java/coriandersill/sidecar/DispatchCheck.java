package coriandersill.sidecar;

import coriandersill.core.CallFailure;
import coriandersill.wire.Message;
import java.util.Optional;

/** Decides whether a dispatch may run at all; implementations must be thread-safe. */
public interface DispatchCheck {

    /** Returns why an arriving dispatch must not be queued for admission, or an empty optional. */
    Optional<CallFailure> checkOnArrival(Message.Dispatch dispatch);

    /**
     * Returns why the dispatch must not be sent to the upstream, or an empty optional. Called at most once for each
     * dispatch, after all other checks; a dispatch that passes is still not sent if it is cancelled meanwhile.
     */
    Optional<CallFailure> checkBeforeSending(Message.Dispatch dispatch);

    /** Returns a check that passes every dispatch. */
    static DispatchCheck none() {
        return new DispatchCheck() {
            @Override
            public Optional<CallFailure> checkOnArrival(Message.Dispatch dispatch) {
                return Optional.empty();
            }

            @Override
            public Optional<CallFailure> checkBeforeSending(Message.Dispatch dispatch) {
                return Optional.empty();
            }
        };
    }
}
