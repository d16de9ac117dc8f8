package coriandersill.relay.internal;

import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import coriandersill.routing.Router;
import coriandersill.upstreams.ColdCallShare;
import coriandersill.upstreams.Upstream;
import coriandersill.upstreams.UpstreamListener;
import java.time.Duration;
import java.util.Map;

/** Moves generations off engines that leave, and forgets upstreams that are gone. */
record Departures(
        GenerationTable generations,
        MovePlanner moves,
        Router engines,
        Router plain,
        ColdCallShare coldCalls,
        EventLog events)
        implements UpstreamListener {
    @Override
    public void joined(Upstream upstream) {
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
                        "own_generations", generations.ids(upstream.instance()).size(),
                        "time_left_ms", timeLeft.toMillis()));
        moves.leaving(upstream, timeLeft);
    }

    @Override
    public void gone(Upstream upstream) {
        engines.removeInstance(upstream.instance());
        plain.removeInstance(upstream.instance());
        coldCalls.forget(upstream.instance());
    }
}
