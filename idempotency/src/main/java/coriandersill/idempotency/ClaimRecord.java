package coriandersill.idempotency;

import coriandersill.core.CallId;
import coriandersill.core.InstanceId;
import java.time.Duration;

/** One record of the stream of claims. */
public sealed interface ClaimRecord {

    /** The key that the record is about. */
    ClaimKey key();

    /**
     * Asks for the right to run a call; the first one in the stream's order has it.
     *
     * @param key the key
     * @param fingerprint what the call asks for
     * @param call the call, unique for each attempt to claim
     * @param holder the entry that asks
     * @param incarnation the entry's incarnation
     * @param lifetime for how long the call may take before its outcome counts as unknown
     */
    record Claimed(
            ClaimKey key, Fingerprint fingerprint, CallId call, InstanceId holder, long incarnation, Duration lifetime)
            implements ClaimRecord {}

    /**
     * Gives a claim back: its call has not run and never will under this token.
     *
     * @param key the key
     * @param token the claim's fencing token
     */
    record Released(ClaimKey key, long token) implements ClaimRecord {}

    /**
     * States the outcome of a call.
     *
     * @param key the key
     * @param token the claim's fencing token
     * @param outcome the outcome
     */
    record Completed(ClaimKey key, long token, Outcome outcome) implements ClaimRecord {}
}
