package coriandersill.relay;

import coriandersill.core.WorkspaceName;
import coriandersill.upstreams.Upstream;
import java.time.Duration;
import java.util.Optional;

/**
 * One sending of a caller's request to an upstream.
 *
 * @param request the caller's request
 * @param target the upstream that is meant, which refuses if it is another incarnation
 * @param workspace the caller's workspace; empty where calls need no key
 * @param timeLeft how long the caller still waits
 * @param lastEventId the last event that the caller has; {@link CallRequest#NO_EVENT} to start from the first
 * @param copy where the upstream finds the memory of the run that it goes on with; empty for a new run
 */
public record UpstreamCall(
        CallRequest request,
        Upstream target,
        Optional<WorkspaceName> workspace,
        Duration timeLeft,
        long lastEventId,
        Optional<KvCacheCopy> copy) {}
