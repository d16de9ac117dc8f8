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
 * Simulates an availability zone that leaves service and returns, in virtual time.
 *
 * <p>The queueing model is coarse: a zone is a single pool of slots, the time between tokens grows with the fraction of
 * slots in use, output lengths are geometric and arrivals are Poisson. Each entry has its own gate (at most
 * {@link #MAX_ENTRY_GATES} are simulated) and the sidecars of the zone share one; a gate applies a change after a delay
 * of up to {@link #MAX_APPLY_DELAY_SECONDS} seconds. {@link #DRAIN_SECONDS} seconds after a zone has left, the
 * generations that still run in it are interrupted.
 */
final class ZoneChangeSimulation {
    private static final int LEAVE_SECOND = 120;
    private static final int DRAIN_SECONDS = 180;
    private static final int RETURN_SECOND = 420;
    private static final int END_SECOND = 720;
    private static final int MAX_APPLY_DELAY_SECONDS = 6;
    private static final Duration RAMP_DURATION = Duration.ofMinutes(2);
    private static final double MEAN_OUTPUT_TOKENS = 250;
    private static final double BASE_GAP_SECONDS = 0.025;
    private static final double FULL_LOAD_EXTRA_GAP_SECONDS = 0.01;
    private static final int MAX_ENTRY_GATES = 30;

    private final Parameters parameters;
    private final SplittableRandom random;
    private final CallSampler sampler;
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final List<AvailabilityZone> zones;
    private final ZoneGate[] entryGates;
    private final int[] entryApplyDelaysSeconds;
    private final ZoneGate sidecarGate = ZoneGate.of(clock, RAMP_DURATION);
    private final int sidecarApplyDelaySeconds;
    private final long[] running;
    private final GapHistogram gapsBeforeChange = new GapHistogram();
    private final GapHistogram gapsAfterChange = new GapHistogram();
    private long refused;
    private long retried;
    private long interrupted;
    private long lateStarts;
    private long nextRequestNumber;

    /**
     * The parameters of a simulation.
     *
     * @param zones the number of zones
     * @param entries the number of entries
     * @param requestsPerSecond the arrival rate
     * @param usedSlotsFraction the fraction of all slots that are in use before the zone leaves
     */
    record Parameters(int zones, int entries, double requestsPerSecond, double usedSlotsFraction) {
        double slotsPerZone() {
            double gapSeconds = BASE_GAP_SECONDS + FULL_LOAD_EXTRA_GAP_SECONDS * usedSlotsFraction;
            return requestsPerSecond * MEAN_OUTPUT_TOKENS * gapSeconds / usedSlotsFraction / zones;
        }
    }

    /**
     * The results of a simulation.
     *
     * @param interrupted generations still running in the zone at the end of its drain time
     * @param refused requests refused before they ran because no zone had a free slot
     * @param retried requests that a sidecar of the leaving zone refused, and that were offered to the next zone
     * @param lateStarts requests started in the zone more than {@link #MAX_APPLY_DELAY_SECONDS} seconds after it left
     * @param gapRatio the p99 time between tokens in the other zones after the change, relative to that before it
     */
    record Result(long interrupted, long refused, long retried, long lateStarts, double gapRatio) {}

    private ZoneChangeSimulation(Parameters parameters, SplittableRandom random) {
        this.parameters = parameters;
        this.random = random;
        this.sampler = new CallSampler(random);
        this.zones = IntStream.range(0, parameters.zones())
                .mapToObj(zone -> AvailabilityZone.of("zone-" + zone))
                .toList();
        int gates = Math.min(MAX_ENTRY_GATES, parameters.entries());
        this.entryGates = new ZoneGate[gates];
        Arrays.setAll(entryGates, gate -> ZoneGate.of(clock, RAMP_DURATION));
        this.entryApplyDelaysSeconds = IntStream.range(0, gates)
                .map(gate -> random.nextInt(MAX_APPLY_DELAY_SECONDS + 1))
                .toArray();
        this.sidecarApplyDelaySeconds = random.nextInt(MAX_APPLY_DELAY_SECONDS + 1);
        this.running = new long[parameters.zones()];
        Arrays.fill(running, Math.round(parameters.slotsPerZone() * parameters.usedSlotsFraction()));
    }

    static Result run(Parameters parameters, long seed) {
        ZoneChangeSimulation simulation = new ZoneChangeSimulation(parameters, new SplittableRandom(seed));
        for (int second = 0; second < END_SECOND; second++) {
            simulation.simulateSecond(second);
        }
        return new Result(
                simulation.interrupted,
                simulation.refused,
                simulation.retried,
                simulation.lateStarts,
                simulation.gapsAfterChange.quantile(0.99) / simulation.gapsBeforeChange.quantile(0.99));
    }

    private void simulateSecond(int second) {
        applyChange(second);
        for (int zone = 0; zone < running.length; zone++) {
            advanceGenerations(zone, second);
        }
        if (second == LEAVE_SECOND + DRAIN_SECONDS) {
            interrupted += running[0];
            running[0] = 0;
        }
        long arrivals = sampler.poisson(parameters.requestsPerSecond());
        for (long arrival = 0; arrival < arrivals; arrival++) {
            placeRequest(second);
        }
        clock.advance(Duration.ofSeconds(1));
    }

    private void applyChange(int second) {
        for (int gate = 0; gate < entryGates.length; gate++) {
            applyChange(entryGates[gate], second - entryApplyDelaysSeconds[gate]);
        }
        applyChange(sidecarGate, second - sidecarApplyDelaySeconds);
    }

    /** Applies the change that was ordered at {@code orderSecond}, if any, and that reaches the gate now. */
    private void applyChange(ZoneGate gate, int orderSecond) {
        if (orderSecond == LEAVE_SECOND) {
            gate.takeOut(zones.get(0));
        } else if (orderSecond == RETURN_SECOND) {
            gate.bringIn(zones.get(0));
        }
    }

    private void advanceGenerations(int zone, int second) {
        double gapSeconds = BASE_GAP_SECONDS + FULL_LOAD_EXTRA_GAP_SECONDS * running[zone] / parameters.slotsPerZone();
        if (zone > 0) {
            (second < LEAVE_SECOND ? gapsBeforeChange : gapsAfterChange).add(gapSeconds, running[zone] / gapSeconds);
        }
        running[zone] -= Math.min(running[zone], sampler.poisson(running[zone] / (MEAN_OUTPUT_TOKENS * gapSeconds)));
    }

    private void placeRequest(int second) {
        // The gate mixes the bits of the hash, so that consecutive numbers can serve as hashes.
        long requestHash = nextRequestNumber++;
        ZoneGate gate = entryGates[random.nextInt(entryGates.length)];
        List<Integer> candidateZones = new ArrayList<>();
        for (int zone = 0; zone < running.length; zone++) {
            if (gate.share(zones.get(zone)) >= 1 || gate.admits(zones.get(zone), requestHash)) {
                candidateZones.add(zone);
            }
        }
        candidateZones.sort((one, other) -> Long.compare(running[one], running[other]));
        for (int zone : candidateZones) {
            if (running[zone] + 1 > parameters.slotsPerZone()) {
                break;
            }
            if (zone == 0 && sidecarGate.share(zones.get(0)) == 0) {
                retried++;
                continue;
            }
            running[zone]++;
            boolean outOfService = second > LEAVE_SECOND + MAX_APPLY_DELAY_SECONDS && second < RETURN_SECOND;
            lateStarts += zone == 0 && outOfService ? 1 : 0;
            return;
        }
        refused++;
    }
}
