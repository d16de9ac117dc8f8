package coriandersill.relay;

import coriandersill.core.ServiceName;
import coriandersill.core.WorkspaceName;
import java.util.Optional;

/** Learns of requests that upstreams begin. */
@FunctionalInterface
public interface ExecutionListener {
    /** A listener that ignores them. */
    ExecutionListener NONE = (service, workspace) -> {};

    /**
     * Called once for each run of a request that an upstream is known to have begun: at the first event of a stream, or
     * at the response to another call. The continuation of a run on another upstream is no run of its own. May be
     * called from any thread and must not block.
     *
     * @param service the service
     * @param workspace the caller's workspace; empty if the call needs no key
     */
    void executionBegan(ServiceName service, Optional<WorkspaceName> workspace);
}
