package coriandersill.idempotency.log;

import coriandersill.idempotency.ClaimKey;
import coriandersill.idempotency.Fingerprint;
import java.time.Duration;
import java.util.Objects;

/**
 * Asks for the right to run a call that may not be repeated.
 *
 * @param key the workspace and its idempotency key
 * @param fingerprint what the call asks for
 * @param lifetime how long the call may take in all; after it, repeats hear that the outcome is unknown
 */
public record ClaimRequest(ClaimKey key, Fingerprint fingerprint, Duration lifetime) {

    /** Refuses nulls and a lifetime that is not positive. */
    public ClaimRequest {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(fingerprint, "fingerprint");
        if (lifetime.isZero() || lifetime.isNegative()) {
            throw new IllegalArgumentException("lifetime: expected a positive duration, found " + lifetime);
        }
    }
}
