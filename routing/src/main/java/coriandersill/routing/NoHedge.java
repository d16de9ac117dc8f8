package coriandersill.routing;

import coriandersill.core.RouteName;
import java.time.Duration;
import java.util.Optional;

/** Never hedges; the standard choice. */
public final class NoHedge implements HedgePolicy {
    private NoHedge() {}

    /** Returns the policy. */
    public static NoHedge create() {
        return new NoHedge();
    }

    @Override
    public Optional<Duration> delay(RouteName route, boolean repeatableLookup) {
        return Optional.empty();
    }

    @Override
    public boolean tryAcquirePermit() {
        return false;
    }

    @Override
    public void recordLatency(RouteName route, Duration latency) {
        // Latencies have no effect here.
    }
}
