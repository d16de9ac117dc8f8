package coriandersill.upstreams;

import java.time.Duration;

/** Callbacks for changes of an {@link UpstreamTable}; called without holding the table's lock. */
public interface UpstreamListener {

    /** Called when an upstream enters service or returns to it. */
    void joined(Upstream upstream);

    /** Called when an upstream stops accepting new work; it shuts down after about {@code timeLeft}. */
    void leaving(Upstream upstream, Duration timeLeft);

    /** Called when an upstream that is no longer listed has been removed after its leaving time. */
    void removed(Upstream upstream);
}
