package coriandersill.idempotency.log;

import coriandersill.idempotency.ClaimKey;
import coriandersill.idempotency.Fingerprint;
import java.time.Duration;
import java.util.Objects;

/**
 * A request for the right to run a non-idempotent call.
 *
 * @param key the idempotency key and its workspace
 * @param fingerprint the fingerprint of the request
 * @param lifetime how long the call may take in total; after that, repeated calls are told that the outcome is unknown
 */
public record ClaimRequest(ClaimKey key, Fingerprint fingerprint, Duration lifetime) {

    /** Throws an exception if a component is null or the lifetime is not positive. */
    public ClaimRequest {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(fingerprint, "fingerprint");
        if (lifetime.isZero() || lifetime.isNegative()) {
            throw new IllegalArgumentException("lifetime: expected a positive duration, found " + lifetime);
        }
    }
}
