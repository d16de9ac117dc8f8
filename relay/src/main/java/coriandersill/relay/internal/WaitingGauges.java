package coriandersill.relay.internal;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import coriandersill.core.MonotonicClock;
import coriandersill.scheduling.WaitingQueue;
import coriandersill.scheduling.WaitingRequest;
import java.time.Duration;
import java.util.stream.Stream;

/** Metrics of the generations that wait, by urgency. */
final class WaitingGauges {
    /** Requests of this rank and of all less urgent ones are counted together. */
    private static final int LAST_RANK = 3;

    private WaitingGauges() {}

    static void register(MetricRegistry registry, GenerationDispatch dispatch, MonotonicClock clock) {
        for (int urgency = 0; urgency <= LAST_RANK; urgency++) {
            int rank = urgency;
            Gauge<Long> length = () -> ofRank(dispatch, rank).count();
            registry.register("relay.waiting.length." + rank, length);
            Gauge<Long> age = () -> ofRank(dispatch, rank)
                    .mapToLong(request -> Duration.ofNanos(clock.nanos() - request.arrivedNanos())
                            .toMillis())
                    .max()
                    .orElse(0);
            registry.register("relay.waiting.age_ms." + rank, age);
        }
        Gauge<Long> kept = () -> dispatch.sum(WaitingQueue::promisesKept);
        registry.register("relay.waiting.returns_kept", kept);
        Gauge<Long> broken = () -> dispatch.sum(WaitingQueue::promisesBroken);
        registry.register("relay.waiting.returns_broken", broken);
    }

    private static Stream<WaitingRequest> ofRank(GenerationDispatch dispatch, int rank) {
        return dispatch.waiting().stream().filter(request -> Math.min(request.urgency(), LAST_RANK) == rank);
    }
}
