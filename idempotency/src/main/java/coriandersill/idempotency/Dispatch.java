package coriandersill.idempotency;

import coriandersill.core.CallId;
import java.util.Objects;

/**
 * What an entry sends along with a call that may not be repeated, for the {@link DispatchGate} to judge.
 *
 * @param key the key
 * @param token the claim's fencing token
 * @param call the call
 * @param attempt the attempt to hand the call on, from 1
 * @param stamp the newest stamp of the gate that the entry had before it checked its claim
 */
public record Dispatch(ClaimKey key, long token, CallId call, int attempt, GateStamp stamp) {

    /** Refuses nulls. */
    public Dispatch {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(call, "call");
        Objects.requireNonNull(stamp, "stamp");
    }
}
