package coriandersill.upstreams;

import java.time.Duration;

/** Hears of changes of an {@link UpstreamTable}; called without the table's lock. */
public interface UpstreamListener {

    /** An upstream is in service. */
    void joined(Upstream upstream);

    /** An upstream takes no new work and is gone after about {@code timeLeft}. */
    void leaving(Upstream upstream, Duration timeLeft);

    /** An upstream is not listed any more and its time has passed. */
    void removed(Upstream upstream);
}
