package coriandersill.experiment;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.function.LongFunction;
import java.util.stream.IntStream;

/** Compares policies under cold starts, engine crashes, and an availability zone that leaves service and returns. */
final class FaultComparison {
    /** The load that two of the three zones can still serve, in percent of the sustainable load. */
    private static final int ZONE_LOAD_PERCENT = 50;

    private static final int FAULT_LOAD_PERCENT = 90;
    /** The best limit of the sweep in {@link SustainableLoad} at 90% load; at 70% load, the best is 28. */
    private static final int FIXED_LIMIT = 40;

    private static final Duration WARM_UP = Duration.ofSeconds(30);
    private static final Duration PHASE_DURATION = Duration.ofSeconds(30);

    /**
     * The consecutive phases of a run in which a zone leaves service and returns, each {@link #PHASE_DURATION} long.
     */
    private enum ZonePhase {
        BEFORE(0),
        OUT(1),
        RETURNED(2);

        /** The number of phases between the end of the warm-up and the start of this phase. */
        private final int precedingPhases;

        ZonePhase(int precedingPhases) {
            this.precedingPhases = precedingPhases;
        }
    }

    private final SimulationRunner runner;
    private final Deployment deployment;
    private final ResultTable table;

    FaultComparison(SimulationRunner runner, Deployment deployment, ResultTable table) {
        this.runner = runner;
        this.deployment = deployment;
        this.table = table;
    }

    /** Runs all comparisons; {@code sustainableRate} is the sustainable load in tokens per second. */
    void run(double sustainableRate) {
        PolicySet standard = PolicySets.standard(deployment.engineSpec());
        PolicySet fixed = PolicySets.roundRobin(FIXED_LIMIT);
        List<Fault> allCold = IntStream.range(0, deployment.engines())
                .mapToObj(index -> new Fault(Duration.ZERO, Fault.Kind.ENGINE_TURNS_COLD, index))
                .toList();
        List<Fault> crashes = IntStream.range(0, 3)
                .mapToObj(index -> new Fault(WARM_UP.plusSeconds(10L * index), Fault.Kind.ENGINE_CRASHES, index))
                .toList();
        for (PolicySet policies : List.of(fixed, standard)) {
            double rate = sustainableRate * FAULT_LOAD_PERCENT / 100;
            addRow("all cold", FAULT_LOAD_PERCENT, seed -> faultSettings(rate, seed, allCold), policies);
            addRow("3 engines die", FAULT_LOAD_PERCENT, seed -> faultSettings(rate, seed, crashes), policies);
        }
        for (PolicySet policies : List.of(standard, PolicySets.withoutZoneRamp(deployment.engineSpec()))) {
            double rate = sustainableRate * ZONE_LOAD_PERCENT / 100;
            addRow("zone before", ZONE_LOAD_PERCENT, seed -> zonePhaseSettings(rate, seed, ZonePhase.BEFORE), policies);
            addRow("zone out", ZONE_LOAD_PERCENT, seed -> zonePhaseSettings(rate, seed, ZonePhase.OUT), policies);
            addRow("zone back", ZONE_LOAD_PERCENT, seed -> zonePhaseSettings(rate, seed, ZonePhase.RETURNED), policies);
        }
    }

    private void addRow(String fault, int loadPercent, LongFunction<RunSettings> settings, PolicySet policies) {
        Summary summary = new Summary(
                fault + ": " + policies.name(),
                loadPercent,
                runner.run(settings, policies).join());
        table.add(summary);
        table.note(String.format(
                Locale.ROOT,
                "cold violations %.0f, broken %.0f, false refusals %.0f, attempts per call %.3f",
                summary.sum(RunResult::coldViolations),
                summary.sum(RunResult::broken),
                summary.sum(RunResult::falseRefusals),
                summary.sum(RunResult::attempts)
                        / summary.sum(result -> result.answered() + result.refused() + result.broken())));
    }

    private RunSettings faultSettings(double rate, long seed, List<Fault> faults) {
        return runner.settings(deployment, rate, 1, seed).withFaults(faults);
    }

    /** Returns the settings of a run that measures one phase; the first zone leaves service and returns. */
    private RunSettings zonePhaseSettings(double rate, long seed, ZonePhase phase) {
        // Calls arrive for a fourth phase, which is not measured, to keep the load constant until the end of the third.
        Duration duration = WARM_UP.plus(PHASE_DURATION.multipliedBy(4));
        List<Arrival> arrivals = Workload.atTokenRate(WorkloadSpec.standard(1, duration), rate, seed);
        Duration from = WARM_UP.plus(PHASE_DURATION.multipliedBy(phase.precedingPhases));
        return RunSettings.of(deployment, arrivals, seed, from, PHASE_DURATION)
                .withFaults(List.of(
                        new Fault(WARM_UP.plus(PHASE_DURATION), Fault.Kind.ZONE_OUT, 0),
                        new Fault(WARM_UP.plus(PHASE_DURATION.multipliedBy(2)), Fault.Kind.ZONE_IN, 0)));
    }
}
