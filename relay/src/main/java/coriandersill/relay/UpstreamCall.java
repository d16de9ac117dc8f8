package coriandersill.relay;

import coriandersill.core.WorkspaceName;
import coriandersill.upstreams.Upstream;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * A caller's request as it is sent to one upstream.
 *
 * @param request the caller's request
 * @param target the upstream; another incarnation at the same address refuses the request
 * @param workspace the caller's workspace; empty if the call needs no key
 * @param timeLeft the time until the caller's deadline
 * @param lastEventId the id of the last event that the caller has; {@link CallRequest#NO_EVENT} to start with the first
 * @param priority the priority that the upstream is told, from 0, which is served first, to 9; empty to state none
 * @param copy the KV cache from which the upstream continues a generation; empty to start a new one
 */
public record UpstreamCall(
        CallRequest request,
        Upstream target,
        Optional<WorkspaceName> workspace,
        Duration timeLeft,
        long lastEventId,
        OptionalInt priority,
        Optional<KvCacheCopy> copy) {}
