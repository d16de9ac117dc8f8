package coriandersill.rollout.log;

import coriandersill.core.InstanceId;
import java.util.Collection;

/** Access to the other processes for rollouts. Implementations must not block. */
public interface RolloutPeers {

    /** Returns the live entries, including this process if it is an entry. */
    Collection<InstanceId> entries();

    /** Sends a message, which the peer passes to {@link RolloutService#accept(byte[])}; delivery is not guaranteed. */
    void send(InstanceId to, byte[] message);
}
