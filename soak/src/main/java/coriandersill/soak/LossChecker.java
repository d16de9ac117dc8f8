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
import java.util.function.Function;

/**
 * Checks, from what callers and upstreams saw, that around stops and reloads no connection ends without a complete
 * answer to a request that was read whole.
 */
final class LossChecker {
    /** How soon after its last byte a request's connection may end if it was not passed on: the two crossed. */
    private static final Duration MAX_CROSSING_TIME = Duration.ofMillis(200);

    /** How much later than the entry may read a request this process may note that it is sent. */
    private static final Duration MEASURING_DELAY = Duration.ofMillis(50);

    private static final Duration GRACE_PERIOD = PlatformFixtures.gracePeriod();
    private static final Duration AFTER_GRACE_PERIOD = Duration.ofSeconds(1);

    /** The part of the grace period in which an entry may end what upstreams still work on. */
    private static final double LAST_FRACTION = 1.0 / 6;

    /** How long after the signal a request may be sent which may be ended in that part. */
    private static final Duration MAX_SENT_AFTER_SIGNAL = Duration.ofSeconds(3);

    private static final Duration MAX_RELOAD_TIME = PlatformFixtures.configurationTime();

    private final DisturbanceTracker disturbances;
    private final Function<CallKind, Duration> maxAnswerTimes;
    private final Map<String, List<Upstream>> reached = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    private LossChecker(
            List<Upstream> upstreams, DisturbanceTracker disturbances, Function<CallKind, Duration> maxAnswerTimes) {
        this.disturbances = disturbances;
        this.maxAnswerTimes = maxAnswerTimes;
        for (Upstream upstream : upstreams) {
            for (StandInUpstream.ReceivedRequest request : upstream.server().received()) {
                reached.computeIfAbsent(request.attemptId(), id -> new ArrayList<>())
                        .add(upstream);
            }
        }
    }

    /**
     * Returns a description of each violation found.
     *
     * @param maxAnswerTimes by kind of call, the time within which it must be answered
     */
    static List<String> violations(
            List<CallResult> calls,
            List<Upstream> upstreams,
            DisturbanceTracker disturbances,
            Function<CallKind, Duration> maxAnswerTimes) {
        LossChecker checker = new LossChecker(upstreams, disturbances, maxAnswerTimes);
        calls.stream().filter(call -> !call.complete()).forEach(checker::check);
        return checker.violations;
    }

    private void check(CallResult call) {
        long heldNanos = call.endedAtNanos() - call.sentAtNanos();
        long slowedNanos =
                SlowdownMonitor.slowedNanos(disturbances, call.entry(), call.sentAtNanos(), call.endedAtNanos());
        boolean passedOn = reached.containsKey(call.id());
        boolean deadlineReached = heldNanos
                > maxAnswerTimes.apply(call.kind()).minus(MEASURING_DELAY).toNanos();
        if ((!passedOn && heldNanos - slowedNanos < MAX_CROSSING_TIME.toNanos())
                || deadlineReached
                || isBrokenOffByUpstream(call)) {
            return;
        }
        Long signalledAtNanos = disturbances.lastStopSignal(call.entry(), call.endedAtNanos());
        boolean atStop = signalledAtNanos != null
                && call.endedAtNanos() - signalledAtNanos
                        < GRACE_PERIOD.plus(AFTER_GRACE_PERIOD).toNanos();
        if (atStop ? !isEndedLate(call, signalledAtNanos) : isBesideReload(call)) {
            violations.add("LOST: " + (passedOn ? "passed on, then" : "not passed on, but") + " closed after "
                    + TimeUnit.NANOSECONDS.toMillis(heldNanos) + " ms"
                    + (atStop
                            ? ", sent " + millis(call.sentAtNanos() - signalledAtNanos) + " ms and closed "
                                    + millis(call.endedAtNanos() - signalledAtNanos) + " ms after SIGTERM"
                            : " beside a reload")
                    + ": " + call);
        }
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    /** Returns whether an upstream still worked on it in the last part of the grace period. */
    private boolean isEndedLate(CallResult call, long signalledAtNanos) {
        long lastPartNanos = signalledAtNanos + (long) (GRACE_PERIOD.toNanos() * (1 - LAST_FRACTION));
        return call.sentAtNanos() - signalledAtNanos <= MAX_SENT_AFTER_SIGNAL.toNanos()
                && reached.getOrDefault(call.id(), List.of()).stream()
                        .anyMatch(upstream -> upstream.server().workedUntilNanos(call.id()) > lastPartNanos);
    }

    /** Returns whether its entry had just reloaded its settings, and nothing else had happened to it. */
    private boolean isBesideReload(CallResult call) {
        long undisturbedFromNanos =
                call.sentAtNanos() - StoreTimes.contactTime().toNanos();
        return !disturbances.isInterrupted(call.entry(), undisturbedFromNanos, call.endedAtNanos())
                && disturbances
                        .reloadSignals(call.entry())
                        .anyMatch(atNanos -> atNanos < call.endedAtNanos()
                                && call.sentAtNanos() - atNanos <= MAX_RELOAD_TIME.toNanos());
    }

    private boolean isBrokenOffByUpstream(CallResult call) {
        return reached.getOrDefault(call.id(), List.of()).stream()
                .anyMatch(upstream -> upstream.breaksOff(call.id())
                        || upstream.isEndless()
                        || upstream.closedAtNanos() < call.endedAtNanos());
    }
}
