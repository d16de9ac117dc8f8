package coriandersill.idempotency;

/**
 * A mark of time that a {@link DispatchGate} hands out and judges by its own clock alone.
 *
 * @param epoch drawn by the gate when it started
 * @param elapsedMillis milliseconds since the gate started
 */
public record GateStamp(long epoch, long elapsedMillis) {}
