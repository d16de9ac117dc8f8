package coriandersill.soak;

import coriandersill.platform.PlatformFixtures;
import coriandersill.platform.StandInUpstream;
import coriandersill.platform.StoreTimes;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Checks, from what callers and upstreams saw, that no request reaches an upstream later than entries may take after
 * the store accepted that it leaves.
 */
final class DrainChecker {
    private static final Duration MAX_REACTION_TIME = PlatformFixtures.drainTime();

    /**
     * How much later a request of a caller who sent it in time may reach the upstream: the delay of this process, which
     * runs callers and upstreams.
     */
    private static final Duration MEASURING_DELAY = Duration.ofMillis(300);

    /**
     * How long the store must have been undisturbed when it accepts a departure for the limit to apply; after an outage
     * the limit applies from then on to what was accepted before.
     */
    private static final Duration STORE_SETTLING_TIME = StoreTimes.contactTime();

    /** How long before a request the links of its entry and its upstream must have been undisturbed. */
    private static final Duration SETTLING_TIME = Duration.ofSeconds(3);

    private final Map<String, CallResult> callsById = new HashMap<>();
    private final DisturbanceTracker disturbances;
    private final List<String> violations = new ArrayList<>();

    private DrainChecker(List<CallResult> calls, DisturbanceTracker disturbances) {
        calls.forEach(call -> callsById.put(call.id(), call));
        this.disturbances = disturbances;
    }

    /** Returns a description of each violation found. */
    static List<String> violations(List<CallResult> calls, List<Upstream> upstreams, DisturbanceTracker disturbances) {
        DrainChecker checker = new DrainChecker(calls, disturbances);
        upstreams.forEach(checker::check);
        return checker.violations;
    }

    /**
     * Returns when the store, undisturbed, says that an upstream leaves or is gone; {@link Long#MAX_VALUE} if it never
     * does.
     */
    private long acknowledgedAtNanos(Upstream upstream) {
        long acceptedAtNanos = upstream.departureAcceptedAtNanos();
        return acceptedAtNanos == Long.MAX_VALUE
                ? Long.MAX_VALUE
                : disturbances.firstUninterruptedNanos(SoakEnvironment.STORE, acceptedAtNanos, STORE_SETTLING_TIME);
    }

    private boolean isStoreSettled(long atNanos) {
        long fromNanos = atNanos - STORE_SETTLING_TIME.toNanos();
        return disturbances.slowedNanos(List.of(SlowdownMonitor.EVERYTHING), fromNanos, atNanos) == 0;
    }

    private void check(Upstream upstream) {
        long acceptedAtNanos = acknowledgedAtNanos(upstream);
        if (acceptedAtNanos == Long.MAX_VALUE || !isStoreSettled(acceptedAtNanos)) {
            return;
        }
        for (StandInUpstream.ReceivedRequest request : upstream.server().received()) {
            CallResult call = callsById.get(request.attemptId());
            if (call == null || !call.entrySettled()) {
                continue;
            }
            long sentNanos = call.sentAtNanos() - acceptedAtNanos;
            long reachedNanos = request.receivedAtNanos() - acceptedAtNanos;
            long slowedNanos =
                    SlowdownMonitor.slowedNanos(disturbances, call.entry(), acceptedAtNanos, request.receivedAtNanos());
            boolean late = sentNanos - slowedNanos > MAX_REACTION_TIME.toNanos()
                    || reachedNanos - slowedNanos
                            > MAX_REACTION_TIME.plus(MEASURING_DELAY).toNanos();
            long sinceNanos = call.sentAtNanos() - SETTLING_TIME.toNanos();
            if (late
                    && !disturbances.isInterrupted(call.entry(), sinceNanos, request.receivedAtNanos())
                    && !disturbances.isInterrupted(upstream.id(), sinceNanos, request.receivedAtNanos())) {
                violations.add("DRAIN: reached " + upstream.id() + " " + millis(reachedNanos)
                        + " ms after the store accepted that it leaves, sent by its caller after "
                        + millis(sentNanos) + " ms: " + call);
            }
        }
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
