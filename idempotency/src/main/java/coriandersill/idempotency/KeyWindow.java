package coriandersill.idempotency;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * The window within which the repeat of a key is recognised.
 *
 * <p>A claim is judged by the log's time of its record, so that all readers agree and no caller's or entry's clock
 * counts. The log must keep records for longer than {@link #retention()}.
 *
 * @param length how old a key may be when its claim reaches the log
 * @param maxClockSkew how far a key's time may lie ahead of the log's clock, and by how much that clock may step back
 */
public record KeyWindow(Duration length, Duration maxClockSkew) {

    /** Refuses a length or an allowance that is not positive. */
    public KeyWindow {
        if (length.isNegative() || length.isZero() || maxClockSkew.isNegative() || maxClockSkew.isZero()) {
            throw new IllegalArgumentException(
                    "window: expected positive durations, found " + length + " and " + maxClockSkew + " ahead");
        }
    }

    /** Returns a window of 24 hours that allows clocks to differ by 5 minutes. */
    public static KeyWindow ofOneDay() {
        return new KeyWindow(Duration.ofHours(24), Duration.ofMinutes(5));
    }

    /** For how long after a key's own time its claim is remembered. */
    public Duration retention() {
        return length.plus(maxClockSkew);
    }

    /** Returns why a claim of {@code key} is refused at the log's time {@code at}; empty when it lies in the window. */
    public Optional<CallFailure> refusal(IdempotencyKey key, Instant at) {
        if (key.time().plus(length).isBefore(at)) {
            String message = "idempotency key " + key + " is older than " + length
                    + ": this call was not run, and whether an earlier call with this key ran is not known";
            return Optional.of(
                    CallFailure.of(ErrorKind.IDEMPOTENCY_KEY_EXPIRED, message).withRan(Ran.UNKNOWN));
        }
        if (key.time().isAfter(at.plus(maxClockSkew))) {
            String message = "idempotency key: expected a time at most " + maxClockSkew + " ahead of " + at + ", found "
                    + key.time();
            return Optional.of(CallFailure.of(ErrorKind.INVALID_REQUEST, message));
        }
        return Optional.empty();
    }
}
