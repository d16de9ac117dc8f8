package coriandersill.relay.internal;

import coriandersill.quarantine.CallTraits;

/**
 * A generation whose connection to its engine broke.
 *
 * @param callId the identifier of its call
 * @param events the number of events that this engine sent for it
 * @param traits its workspace and the shared parts of its prompt
 */
record BrokenGeneration(String callId, long events, CallTraits traits) {}
