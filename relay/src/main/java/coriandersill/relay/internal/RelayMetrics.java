package coriandersill.relay.internal;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import coriandersill.core.ErrorKind;
import coriandersill.responses.Framing;
import coriandersill.responses.StreamEnd;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Counters and timers of a relay; docs/OPERATIONS.md lists their names. */
final class RelayMetrics {
    private final MetricRegistry registry;
    private final Timer plainResponse;
    private final Timer firstEvent;
    private final Timer movePause;
    private final Timer wait;

    RelayMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.plainResponse = registry.timer("relay.plain.answer");
        this.firstEvent = registry.timer("relay.generation.first_event");
        this.wait = registry.timer("relay.waiting.time");
        this.movePause = registry.timer("relay.generation.move_pause");
    }

    void recordResponseTime(long nanos) {
        plainResponse.update(nanos, TimeUnit.NANOSECONDS);
    }

    void recordFirstEvent(long nanos) {
        firstEvent.update(nanos, TimeUnit.NANOSECONDS);
    }

    void recordMovePause(long pauseNanos) {
        movePause.update(pauseNanos, TimeUnit.NANOSECONDS);
    }

    /** Records how long after its arrival a generation was sent to an engine. */
    void recordWait(long nanos) {
        wait.update(nanos, TimeUnit.NANOSECONDS);
    }

    void countFailure(ErrorKind kind) {
        increment("relay.failed." + kind.name().toLowerCase(Locale.ROOT));
    }

    /** Counts the end of a stream by whether it was framed and by what was decided of it. */
    void countStreamEnd(StreamEnd end) {
        String prefix = end.framing() == Framing.DELIMITED
                ? "relay.generation.framed_ends."
                : "relay.generation.unframed_ends.";
        increment(prefix + end.verdict().name().toLowerCase(Locale.ROOT));
    }

    /**
     * Counts a choice among engines of which some are expected to hold a part of the prompt.
     *
     * @param tokens the prompt tokens that the chosen engine is expected not to read
     * @param differs whether another engine would have been chosen without the saving
     */
    void countExpectedSaving(double tokens, boolean differs) {
        registry.counter("relay.prompt_parts.saved_tokens").inc(Math.round(tokens));
        if (differs) {
            increment("relay.prompt_parts.changed_choices");
        }
    }

    void increment(String name) {
        registry.counter(name).inc();
    }
}
