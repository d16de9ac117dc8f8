package coriandersill.relay.internal;

import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import coriandersill.routing.EnginePaces;
import coriandersill.routing.HeldParts;
import coriandersill.routing.Router;
import coriandersill.routing.SlowEngines;
import coriandersill.upstreams.ColdCallLimiter;
import coriandersill.upstreams.Upstream;
import coriandersill.upstreams.UpstreamListener;
import java.time.Duration;
import java.util.Map;

/**
 * Records which upstreams join and leave, moves generations off leaving engines, and drops the routing state of removed
 * upstreams.
 */
record DepartureListener(
        GenerationTable generations,
        MovePlanner moves,
        Router engineRouter,
        Router plainRouter,
        ColdCallLimiter coldCallLimiter,
        ClaimedLoads claimedLoads,
        SlowEngines slowEngines,
        EnginePaces paces,
        HeldParts heldParts,
        EventLog events)
        implements UpstreamListener {
    @Override
    public void joined(Upstream upstream) {
        paces.begin(upstream.service(), upstream.instance(), upstream.startedAtMillis());
        heldParts.begin(upstream.instance(), upstream.startedAtMillis());
        events.record(
                EventCode.INSTANCE_JOINED,
                Map.of("upstream", upstream.instance(), "service", upstream.service(), "zone", upstream.zone()));
    }

    @Override
    public void leaving(Upstream upstream, Duration timeLeft) {
        events.record(
                EventCode.INSTANCE_LEFT,
                Map.of(
                        "upstream", upstream.instance(),
                        "service", upstream.service(),
                        "zone", upstream.zone(),
                        "said_so", upstream.leaving(),
                        "own_generations",
                                generations.callIds(upstream.instance()).size(),
                        "time_left_ms", timeLeft.toMillis()));
        moves.planMoves(upstream, timeLeft);
    }

    @Override
    public void removed(Upstream upstream) {
        engineRouter.removeInstance(upstream.instance());
        plainRouter.removeInstance(upstream.instance());
        coldCallLimiter.removeInstance(upstream.instance());
        claimedLoads.removeInstance(upstream.instance());
        slowEngines.removeInstance(upstream.instance());
        paces.removeInstance(upstream.instance());
        heldParts.removeInstance(upstream.instance());
    }
}
