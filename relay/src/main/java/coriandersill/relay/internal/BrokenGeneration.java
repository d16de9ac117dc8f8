package coriandersill.relay.internal;

import coriandersill.core.WorkspaceName;
import coriandersill.quarantine.PromptPart;
import java.util.List;
import java.util.Optional;

/**
 * A generation whose connection to its engine broke.
 *
 * @param callId the identifier of its call
 * @param events the number of events that this engine sent for it
 * @param workspace the caller's workspace; empty if the call needed no key
 * @param parts the shared parts of its prompt
 */
record BrokenGeneration(String callId, long events, Optional<WorkspaceName> workspace, List<PromptPart> parts) {}
