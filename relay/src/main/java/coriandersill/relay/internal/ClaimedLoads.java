package coriandersill.relay.internal;

import coriandersill.core.InstanceId;
import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import coriandersill.relay.ClaimedLoad;
import coriandersill.relay.ResponseHead;
import coriandersill.routing.LoadReport;
import coriandersill.upstreams.Upstream;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Passes the loads that upstreams state in their responses on to routing.
 *
 * <p>A stated load is a claim: it counts only if it belongs to a valid response or refusal of the call, and if it
 * agrees with the listing. Any other is ignored and counted, and routing goes on by this entry's own counts.
 * Thread-safe.
 */
final class ClaimedLoads {
    private final LoadReader loadReader;
    private final UpstreamSelector selector;
    private final RelayMetrics metrics;
    private final EventLog events;

    /** The number of invalid loads by upstream. */
    private final Map<InstanceId, Integer> invalidCounts = new ConcurrentHashMap<>();

    ClaimedLoads(LoadReader loadReader, UpstreamSelector selector, RelayMetrics metrics, EventLog events) {
        this.loadReader = loadReader;
        this.selector = selector;
        this.metrics = metrics;
        this.events = events;
    }

    /** Records the load that {@code upstream} states in a response to a call, which has been recorded as finished. */
    void record(CallPlan plan, UpstreamSelector.Selection selection, ResponseHead head) {
        ClaimedLoad load = head.load();
        Upstream upstream = selection.upstream();
        if (load.error().isPresent()) {
            recordInvalid(upstream, load.error().get());
        } else if (load.report().isPresent() && ResponseValidator.mayStateLoad(plan, head)) {
            recordValid(selection, load);
        }
    }

    private void recordValid(UpstreamSelector.Selection selection, ClaimedLoad load) {
        Upstream upstream = selection.upstream();
        LoadReport report = load.report().orElseThrow();
        if (report.limit() != upstream.slots()) {
            recordInvalid(upstream, "slots: expected " + upstream.slots() + " as listed, found " + report.limit());
            return;
        }
        metrics.increment("relay.claimed_loads.used");
        if (selection.isEngine()) {
            loadReader.applyClaim(upstream, report);
        } else {
            selector.recordLoad(upstream, report);
        }
        load.pacePercent().ifPresent(percent -> recordPace(upstream, percent));
    }

    private void recordPace(Upstream upstream, int percent) {
        if (selector.recordStatedPace(upstream, percent)) {
            metrics.increment("relay.stated_paces.ignored");
            events.record(EventCode.STATED_PACE_IGNORED, Map.of("upstream", upstream.instance(), "percent", percent));
        }
    }

    /** Counts an invalid load; the log states the count of an upstream each time that it has doubled. */
    private void recordInvalid(Upstream upstream, String error) {
        metrics.increment("relay.claimed_loads.invalid");
        int count = invalidCounts.merge(upstream.instance(), 1, Integer::sum);
        if (Integer.bitCount(count) == 1) {
            events.record(
                    EventCode.CLAIMED_LOAD_IGNORED,
                    Map.of("upstream", upstream.instance(), "count", count, "detail", error));
        }
    }

    /** Discards the count of a removed upstream. */
    void removeInstance(InstanceId instance) {
        invalidCounts.remove(instance);
    }
}
