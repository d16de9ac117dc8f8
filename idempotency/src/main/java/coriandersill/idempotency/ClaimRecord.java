package coriandersill.idempotency;

import coriandersill.core.CallId;
import coriandersill.core.InstanceId;
import java.time.Duration;

/** A record of the claims stream. */
public sealed interface ClaimRecord {

    /** The key that the record refers to. */
    ClaimKey key();

    /**
     * Requests the right to run a call; the first such record of a key in stream order acquires it, and after a
     * release, the next one.
     *
     * @param key the key
     * @param fingerprint the fingerprint of the request
     * @param claimId the identifier of the claim, generated anew for each attempt to claim the key
     * @param holder the entry that requests the claim
     * @param incarnation the entry's incarnation
     * @param lifetime how long the call may take before its outcome is considered unknown
     */
    record Claimed(
            ClaimKey key,
            Fingerprint fingerprint,
            CallId claimId,
            InstanceId holder,
            long incarnation,
            Duration lifetime)
            implements ClaimRecord {}

    /**
     * Releases a claim: its call has not run and never will under this token.
     *
     * @param key the key
     * @param token the claim's fencing token
     */
    record Released(ClaimKey key, long token) implements ClaimRecord {}

    /**
     * Records the outcome of a call.
     *
     * @param key the key
     * @param token the claim's fencing token
     * @param outcome the outcome
     */
    record Completed(ClaimKey key, long token, Outcome outcome) implements ClaimRecord {}
}
