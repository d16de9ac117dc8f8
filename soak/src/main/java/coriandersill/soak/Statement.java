package coriandersill.soak;

/**
 * What an upstream said of itself in the answer to a call.
 *
 * @param callId the call that it answered
 * @param atNanos when, by {@link System#nanoTime}
 * @param leaving whether it said that it leaves
 * @param quietUntilNanos until when it wants no request from the entry that it answered; {@code atNanos} if it did not
 *     ask
 */
record Statement(String callId, long atNanos, boolean leaving, long quietUntilNanos) {}
