package coriandersill.relay.internal;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import coriandersill.core.ErrorKind;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Counters and latencies of a relay, by the names that docs/OPERATIONS.md lists. */
final class RelayMetrics {
    private final MetricRegistry registry;
    private final Timer plain;
    private final Timer firstEvent;
    private final Timer movePause;

    RelayMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.plain = registry.timer("relay.plain.answer");
        this.firstEvent = registry.timer("relay.generation.first_event");
        this.movePause = registry.timer("relay.generation.move_pause");
    }

    void answered(long nanos) {
        plain.update(nanos, TimeUnit.NANOSECONDS);
    }

    void firstEvent(long nanos) {
        firstEvent.update(nanos, TimeUnit.NANOSECONDS);
    }

    void moved(long pauseNanos) {
        movePause.update(pauseNanos, TimeUnit.NANOSECONDS);
    }

    void failed(ErrorKind kind) {
        count("relay.failed." + kind.name().toLowerCase(Locale.ROOT));
    }

    void count(String name) {
        registry.counter(name).inc();
    }
}
