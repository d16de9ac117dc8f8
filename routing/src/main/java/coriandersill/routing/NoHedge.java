package coriandersill.routing;

import coriandersill.core.RouteName;
import java.time.Duration;
import java.util.Optional;

/** Never hedges. */
public final class NoHedge implements HedgePolicy {
    private NoHedge() {}

    /** Creates the policy. */
    public static NoHedge create() {
        return new NoHedge();
    }

    @Override
    public Optional<Duration> delay(RouteName route, boolean repeatablePlainCall) {
        return Optional.empty();
    }

    @Override
    public boolean tryAcquirePermit() {
        return false;
    }

    @Override
    public void recordLatency(RouteName route, Duration latency) {
        // Latencies are not used.
    }
}
