package coriandersill.upstreams;

import java.time.Duration;

/** Callbacks for changes of an {@link UpstreamTable}; called without holding the table's lock. */
public interface UpstreamListener {

    /** Called when an upstream enters service or returns to it. */
    void joined(Upstream upstream);

    /** Called when an upstream stops accepting new work; it is assumed to keep running for {@code timeLeft}. */
    void leaving(Upstream upstream, Duration timeLeft);

    /** Called when an upstream has been removed from the table after its leaving time. */
    void removed(Upstream upstream);
}
