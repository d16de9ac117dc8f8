package coriandersill.bench.rollout;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.ManualClock;
import coriandersill.rollout.ZoneGate;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * One zone leaves and returns, in virtual time.
 *
 * <p>The queue model is coarse: a zone is one pool of slots; the time between tokens grows with the part of its slots
 * in use; lengths are geometric; arrivals are Poisson. Each entry and each zone's sidecars have a gate of their own and
 * learn of the change after up to 6 s. A zone that has left is gone {@link #DRAIN_SECONDS} later, and what still runs
 * there is cut.
 */
final class ZoneChangeSimulation {
    private static final int LEAVES_AT = 120;
    private static final int DRAIN_SECONDS = 180;
    private static final int RETURNS_AT = 420;
    private static final int ENDS_AT = 720;
    private static final int APPLIED_WITHIN = 6;
    private static final Duration RAMP = Duration.ofMinutes(2);
    private static final double MEAN_TOKENS = 250;
    private static final double BASE_GAP_SECONDS = 0.025;
    private static final double LOADED_GAP_SECONDS = 0.01;
    private static final int MAX_GATES = 30;

    private final Parameters parameters;
    private final SplittableRandom random;
    private final CallSampler draws;
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final List<AvailabilityZone> zones;
    private final ZoneGate[] entryGates;
    private final int[] entryDelays;
    private final ZoneGate sidecarGate = ZoneGate.of(clock, RAMP);
    private final int sidecarDelay;
    private final long[] running;
    private final GapHistogram before = new GapHistogram();
    private final GapHistogram during = new GapHistogram();
    private long refused;
    private long retried;
    private long cut;
    private long lateStarts;
    private long sequence;

    /**
     * The size of a run.
     *
     * @param zones how many zones
     * @param entries how many entries
     * @param requestsPerSecond arrivals
     * @param use the part of all slots in use before the zone leaves, from 0 to 1
     */
    record Parameters(int zones, int entries, double requestsPerSecond, double use) {
        double slotsPerZone() {
            double gap = BASE_GAP_SECONDS + LOADED_GAP_SECONDS * use;
            return requestsPerSecond * MEAN_TOKENS * gap / use / zones;
        }
    }

    /**
     * What came of a run.
     *
     * @param cut requests that were cut or lost
     * @param refused requests refused before they ran, for want of room
     * @param retried requests that a sidecar refused and another zone took
     * @param lateStarts requests started in the zone more than {@link #APPLIED_WITHIN} seconds after the change
     * @param gapRatio the 99th percentile of the time between tokens in the other zones, against before
     */
    record Result(long cut, long refused, long retried, long lateStarts, double gapRatio) {}

    private ZoneChangeSimulation(Parameters parameters, SplittableRandom random) {
        this.parameters = parameters;
        this.random = random;
        this.draws = new CallSampler(random);
        this.zones = IntStream.range(0, parameters.zones())
                .mapToObj(zone -> AvailabilityZone.of("zone-" + zone))
                .toList();
        int gates = Math.min(MAX_GATES, parameters.entries());
        this.entryGates = new ZoneGate[gates];
        Arrays.setAll(entryGates, gate -> ZoneGate.of(clock, RAMP));
        this.entryDelays = IntStream.range(0, gates)
                .map(gate -> random.nextInt(APPLIED_WITHIN + 1))
                .toArray();
        this.sidecarDelay = random.nextInt(APPLIED_WITHIN + 1);
        this.running = new long[parameters.zones()];
        Arrays.fill(running, Math.round(parameters.slotsPerZone() * parameters.use()));
    }

    static Result run(Parameters parameters, long seed) {
        ZoneChangeSimulation simulation = new ZoneChangeSimulation(parameters, new SplittableRandom(seed));
        for (int second = 0; second < ENDS_AT; second++) {
            simulation.second(second);
        }
        return new Result(
                simulation.cut,
                simulation.refused,
                simulation.retried,
                simulation.lateStarts,
                simulation.during.percentile(0.99) / simulation.before.percentile(0.99));
    }

    private void second(int second) {
        applyChange(second);
        for (int zone = 0; zone < running.length; zone++) {
            serve(zone, second);
        }
        if (second == LEAVES_AT + DRAIN_SECONDS) {
            cut += running[0];
            running[0] = 0;
        }
        long arrivals = draws.poisson(parameters.requestsPerSecond());
        for (long arrival = 0; arrival < arrivals; arrival++) {
            place(second);
        }
        clock.advance(Duration.ofSeconds(1));
    }

    private void applyChange(int second) {
        for (int gate = 0; gate < entryGates.length; gate++) {
            applyChange(entryGates[gate], second - entryDelays[gate]);
        }
        applyChange(sidecarGate, second - sidecarDelay);
    }

    private void applyChange(ZoneGate gate, int second) {
        if (second == LEAVES_AT) {
            gate.takeOut(zones.get(0));
        } else if (second == RETURNS_AT) {
            gate.bringIn(zones.get(0));
        }
    }

    private void serve(int zone, int second) {
        double gap = BASE_GAP_SECONDS + LOADED_GAP_SECONDS * running[zone] / parameters.slotsPerZone();
        if (zone > 0) {
            (second < LEAVES_AT ? before : during).add(gap, running[zone] / gap);
        }
        running[zone] -= Math.min(running[zone], draws.poisson(running[zone] / (MEAN_TOKENS * gap)));
    }

    private void place(int second) {
        long hash = sequence++;
        ZoneGate gate = entryGates[random.nextInt(entryGates.length)];
        List<Integer> open = new ArrayList<>();
        for (int zone = 0; zone < running.length; zone++) {
            if (gate.share(zones.get(zone)) >= 1 || gate.admits(zones.get(zone), hash)) {
                open.add(zone);
            }
        }
        open.sort((one, other) -> Long.compare(running[one], running[other]));
        for (int zone : open) {
            if (running[zone] + 1 > parameters.slotsPerZone()) {
                break;
            }
            if (zone == 0 && sidecarGate.share(zones.get(0)) == 0) {
                retried++;
                continue;
            }
            running[zone]++;
            boolean out = second > LEAVES_AT + APPLIED_WITHIN && second < RETURNS_AT;
            lateStarts += zone == 0 && out ? 1 : 0;
            return;
        }
        refused++;
    }
}
