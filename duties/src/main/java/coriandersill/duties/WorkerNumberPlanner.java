package coriandersill.duties;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.MonotonicClock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides how many workers one service needs in each availability zone, from the work that all entries have open for
 * it.
 *
 * <p>Numbers rise by the mean work of the last seconds, and fall slowly by its maximum over the time that a worker
 * needs to start and more. They never fall while information is missing, nor before that time is over. A zone without a
 * worker in service, as one that operators took out of service, keeps its number; the others take its work. Not
 * thread-safe.
 */
public final class WorkerNumberPlanner {
    /** The part of a worker that is planned to be in use, so that bursts of a few seconds find room. */
    private static final double TARGET_UTILIZATION = 0.7;

    /** The time over which work is averaged before more workers are ordered. */
    private static final Duration RISE_TIME = Duration.ofSeconds(2);

    /** How much longer than the start of a worker takes low work must last before numbers fall. */
    private static final Duration FALL_MARGIN = Duration.ofSeconds(20);

    private static final Duration MIN_BOOT_TIME = Duration.ofSeconds(1);
    private static final Duration MAX_BOOT_TIME = Duration.ofMinutes(10);

    /** A number falls by at most this part of itself in one start time, and only if it is too high by as much. */
    private static final double FALL_FRACTION = 0.1;

    private final MonotonicClock clock;
    private final Deque<Sample> samples = new ArrayDeque<>();
    private final Map<AvailabilityZone, Integer> numbers = new HashMap<>();
    private final Map<AvailabilityZone, Long> changedAtNanos = new HashMap<>();
    private final long beganAtNanos;

    private record Sample(long atNanos, double workers, boolean isComplete) {}

    private WorkerNumberPlanner(MonotonicClock clock) {
        this.clock = clock;
        this.beganAtNanos = clock.nanos();
    }

    /** Returns a planner that has seen no work yet. */
    public static WorkerNumberPlanner create(MonotonicClock clock) {
        return new WorkerNumberPlanner(clock);
    }

    /**
     * The limits of a service.
     *
     * @param minimum the minimum number of workers in a zone
     * @param maximum the maximum number of workers in a zone
     * @param bootTime the time until a new worker serves calls; an implausible one is bounded
     */
    public record Limits(int minimum, int maximum, Duration bootTime) {
        /** Returns whether there is a number within the limits. */
        public boolean isValid() {
            return minimum >= 0 && minimum <= maximum;
        }

        private int within(double number) {
            return (int) Math.max(minimum, Math.min(maximum, Math.ceil(number)));
        }

        private long bootNanos() {
            Duration atLeast = bootTime.compareTo(MIN_BOOT_TIME) < 0 ? MIN_BOOT_TIME : bootTime;
            return (atLeast.compareTo(MAX_BOOT_TIME) > 0 ? MAX_BOOT_TIME : atLeast).toNanos();
        }
    }

    /**
     * Returns the numbers to order; a zone whose number is not known or not to be changed is left out. To be called
     * about once a second.
     *
     * @param limits the limits of the service
     * @param serving the number of workers in service and not leaving in each zone of the deployment
     * @param openWork the work that is open at all entries, as the number of workers that it would fill
     * @param isComplete whether all entries have stated their work lately and the list of workers is current
     */
    public Map<AvailabilityZone, Integer> plan(
            Limits limits, Map<AvailabilityZone, Integer> serving, double openWork, boolean isComplete) {
        long now = clock.nanos();
        long fallNanos = limits.bootNanos() + FALL_MARGIN.toNanos();
        samples.add(new Sample(now, Math.max(0, openWork) / TARGET_UTILIZATION, isComplete));
        while (now - samples.peek().atNanos() > fallNanos) {
            samples.poll();
        }
        // Workers that an earlier holder ordered may still be starting, and are not known here.
        boolean settled = now - beganAtNanos > limits.bootNanos();
        long zonesInService =
                serving.values().stream().filter(count -> count > 0).count();
        Map<AvailabilityZone, Integer> orders =
                new TreeMap<>((first, second) -> first.value().compareTo(second.value()));
        if (!limits.isValid() || zonesInService == 0) {
            return orders;
        }
        if (!settled) {
            noteServing(limits, serving);
            return orders;
        }
        int high = limits.within(meanOf(RISE_TIME.toNanos(), now) / zonesInService);
        int low = limits.within(
                samples.stream().mapToDouble(Sample::workers).max().orElse(0) / zonesInService);
        // Work that was not known for a part of the time may have been higher than the maximum that was seen.
        boolean mayFall = samples.stream().allMatch(Sample::isComplete) && now - beganAtNanos > fallNanos;
        serving.forEach((zone, count) -> {
            if (count > 0) {
                int current = numbers.computeIfAbsent(zone, unused -> limits.within(count));
                int next = next(current, high, low, mayFall && isQuietFor(zone, limits.bootNanos(), now), limits);
                if (next != current) {
                    numbers.put(zone, next);
                    changedAtNanos.put(zone, now);
                }
                if (changedAtNanos.containsKey(zone)) {
                    orders.put(zone, next);
                }
            }
        });
        return orders;
    }

    /** Workers that leave at first are being replaced, so the number ordered before is the maximum seen. */
    private void noteServing(Limits limits, Map<AvailabilityZone, Integer> serving) {
        serving.forEach((zone, count) -> {
            if (count > 0) {
                numbers.merge(zone, limits.within(count), Math::max);
            }
        });
    }

    private static int next(int current, int high, int low, boolean mayFall, Limits limits) {
        int bounded = limits.within(current);
        if (high > bounded) {
            return high;
        }
        int step = Math.max(1, (int) (bounded * FALL_FRACTION));
        return mayFall && bounded - low > step ? bounded - step : bounded;
    }

    private boolean isQuietFor(AvailabilityZone zone, long nanos, long now) {
        Long changed = changedAtNanos.get(zone);
        return changed == null || now - changed > nanos;
    }

    private double meanOf(long lastNanos, long now) {
        return samples.stream()
                .filter(sample -> now - sample.atNanos() <= lastNanos)
                .mapToDouble(Sample::workers)
                .average()
                .orElse(0);
    }
}
