package coriandersill.idempotency;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * The period within which repeated use of a key is detected.
 *
 * <p>A claim is checked against the time that the log assigned to its record, so that all readers agree, independent of
 * the clocks of callers and entries. The log must retain records for longer than {@link #retention()} plus
 * {@link #maxClockSkew()}, because it may accept a claim up to {@link #maxClockSkew()} before the creation time of the
 * claim's key.
 *
 * @param length the maximum age of a key when the log accepts its claim
 * @param maxClockSkew how far the time of a key may be ahead of the log's clock, and by how much the log's clock may be
 *     set back
 */
public record KeyWindow(Duration length, Duration maxClockSkew) {

    /** Throws {@link IllegalArgumentException} if a duration is not positive. */
    public KeyWindow {
        if (length.isNegative() || length.isZero() || maxClockSkew.isNegative() || maxClockSkew.isZero()) {
            throw new IllegalArgumentException(
                    "key window: expected a positive length and clock skew, found " + length + " and " + maxClockSkew);
        }
    }

    /** Returns a window of 24 hours that allows a clock skew of 5 minutes. */
    public static KeyWindow ofOneDay() {
        return new KeyWindow(Duration.ofHours(24), Duration.ofMinutes(5));
    }

    /**
     * How long after the creation time of a key its claim is kept: the length of the window, plus the clock skew,
     * because the log's clock may be set back.
     */
    public Duration retention() {
        return length.plus(maxClockSkew);
    }

    /**
     * Returns the reason to refuse a claim that the log accepted at {@code acceptedAt}; empty if the key is within the
     * window.
     */
    public Optional<CallFailure> refusal(IdempotencyKey key, Instant acceptedAt) {
        if (key.time().plus(length).isBefore(acceptedAt)) {
            String message = "idempotency key " + key + " is older than " + length
                    + ": this call was not run, and whether an earlier call with this key ran is not known";
            return Optional.of(
                    CallFailure.of(ErrorKind.IDEMPOTENCY_KEY_EXPIRED, message).withRan(Ran.UNKNOWN));
        }
        if (key.time().isAfter(acceptedAt.plus(maxClockSkew))) {
            String message = "idempotency key: expected a time at most " + maxClockSkew + " ahead of " + acceptedAt
                    + ", found " + key.time();
            return Optional.of(CallFailure.of(ErrorKind.INVALID_REQUEST, message));
        }
        return Optional.empty();
    }
}
