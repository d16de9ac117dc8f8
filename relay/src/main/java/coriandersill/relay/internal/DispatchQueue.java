package coriandersill.relay.internal;

import coriandersill.core.ServiceName;
import java.time.Duration;

/**
 * Decides when a call that has not been sent to an upstream may look for one, and refuses a call that surely cannot be
 * served in time. Implementations are thread-safe.
 */
interface DispatchQueue {
    /** Adds a call; it is dispatched or refused later, or before this method returns. */
    void add(WaitingCall call);

    /**
     * Takes back a call that was dispatched but found no upstream with room. Returns false if the call does not wait
     * here again and has to be sent wherever it can be.
     */
    boolean returnWithoutRoom(WaitingCall call);

    /** Called when a call that was dispatched has been assigned to an upstream. */
    default void sent(WaitingCall call) {}

    /** Called when the first event of a generation arrives {@code sinceSent} after it was assigned to its engine. */
    default void begun(WaitingCall call, Duration sinceSent) {}

    /** Removes a call that has ended; does nothing if it does not wait. */
    void remove(WaitingCall call);

    /** Called when a call no longer occupies an upstream of a service, whose room others may use. */
    void roomReleased(ServiceName service);

    /** Returns whether calls of the plan's kind are sent only to upstreams with room. */
    boolean requiresRoom(CallPlan plan);
}
