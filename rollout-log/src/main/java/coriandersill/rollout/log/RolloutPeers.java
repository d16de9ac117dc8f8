package coriandersill.rollout.log;

import coriandersill.core.InstanceId;
import java.util.Collection;

/** The other processes, as far as rollouts need them; implementations do not block. */
public interface RolloutPeers {

    /** Returns the live entries, this process included when it is one. */
    Collection<InstanceId> entries();

    /** Sends a message that the peer hands to {@link RolloutService#accept(byte[])}; it may be lost. */
    void send(InstanceId to, byte[] message);
}
