package coriandersill.idempotency;

import coriandersill.core.CallId;
import java.util.Objects;

/**
 * The metadata that an entry sends with a non-idempotent call and that the {@link DispatchGate} checks.
 *
 * @param key the key
 * @param token the claim's fencing token
 * @param call the call
 * @param attempt the number of the attempt to dispatch the call, starting at 1
 * @param stamp the latest stamp that the entry had received from the gate when it checked its claim
 */
public record Dispatch(ClaimKey key, long token, CallId call, int attempt, GateStamp stamp) {

    /** Throws {@link NullPointerException} if {@code key}, {@code call} or {@code stamp} is null. */
    public Dispatch {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(call, "call");
        Objects.requireNonNull(stamp, "stamp");
    }
}
