package coriandersill.relay;

import coriandersill.upstreams.Upstream;
import coriandersill.upstreams.UpstreamStatement;

/** Receives what upstreams say of themselves. */
@FunctionalInterface
public interface StatementListener {
    /** Called for each response that {@code upstream} sent itself, on any thread. */
    void said(Upstream upstream, UpstreamStatement statement);
}
