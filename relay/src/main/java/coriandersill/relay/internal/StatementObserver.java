package coriandersill.relay.internal;

import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import coriandersill.upstreams.Upstream;
import coriandersill.upstreams.UpstreamStatement;
import coriandersill.upstreams.UpstreamTable;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/** Records what upstreams say of themselves in their responses: that they leave, and that they want no request. */
record StatementObserver(UpstreamTable upstreams, RelayMetrics metrics, RandomGenerator random, EventLog events) {
    /** Records the statements of a response to a command that {@code upstream} sent itself. */
    void obey(Upstream upstream, UpstreamStatement statement) {
        obey(upstream, statement, Map.of());
    }

    /**
     * Records the statements of a response that {@code upstream} sent itself.
     *
     * @param origin the details of the events that tell which response it was
     */
    void obey(Upstream upstream, UpstreamStatement statement, Map<String, ?> origin) {
        if (statement.leaving() && upstreams.markSaidLeaving(upstream)) {
            metrics.increment("relay.upstream.said_leaving");
            events.record(EventCode.UPSTREAM_SAID_LEAVING, details(upstream, origin));
        }
        statement.quietTime().ifPresent(time -> markQuiet(upstream, time, origin));
        if (statement.ignoresAnyValue()) {
            metrics.increment("relay.upstream.statements_ignored");
        }
    }

    private void markQuiet(Upstream upstream, Duration time, Map<String, ?> origin) {
        Duration obeyed = spread(time);
        upstreams.markQuiet(upstream, obeyed);
        metrics.increment("relay.upstream.quiet_times");
        Map<String, Object> details = details(upstream, origin);
        details.put("asked_ms", time.toMillis());
        details.put("obeyed_ms", obeyed.toMillis());
        events.record(EventCode.UPSTREAM_QUIET, details);
    }

    private static Map<String, Object> details(Upstream upstream, Map<String, ?> origin) {
        Map<String, Object> details = new LinkedHashMap<>(origin);
        details.put("upstream", upstream.instance());
        details.put("service", upstream.service());
        details.put("started_ms", upstream.startedAtMillis());
        return details;
    }

    /** Returns a time that is longer than {@code time} by a random part, so that callers do not return at once. */
    Duration spread(Duration time) {
        return UpstreamStatement.spread(time, random);
    }
}
