package coriandersill.idempotency;

/**
 * A time stamp that a {@link DispatchGate} issues and later checks against its own clock only.
 *
 * @param epoch a random number that the gate generates when it starts
 * @param elapsedMillis milliseconds since the gate started
 */
public record GateStamp(long epoch, long elapsedMillis) {}
