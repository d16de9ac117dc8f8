package coriandersill.experiment;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.function.LongFunction;
import java.util.stream.IntStream;

/** Runs the policies through cold starts, deaths of engines, and an availability zone that leaves and returns. */
final class FaultComparison {
    /** The load at which two zones of three still suffice, in percent. */
    private static final int ZONE_LOAD = 50;

    private static final int FAULT_LOAD = 90;
    private static final int FIXED_LIMIT = 40;
    private static final Duration BEFORE = Duration.ofSeconds(30);
    private static final Duration PHASE = Duration.ofSeconds(30);

    private final SimulationRunner runner;
    private final Deployment deployment;
    private final ResultTable table;

    FaultComparison(SimulationRunner runner, Deployment deployment, ResultTable table) {
        this.runner = runner;
        this.deployment = deployment;
        this.table = table;
    }

    /** Runs all of them; {@code full} is the sustainable load in tokens a second. */
    void run(double full) {
        PolicySet standard = PolicySets.standard(deployment.engine());
        PolicySet fixed = PolicySets.roundRobin(FIXED_LIMIT);
        List<Fault> allCold = IntStream.range(0, deployment.engines())
                .mapToObj(index -> new Fault(Duration.ZERO, Fault.Kind.ENGINE_TURNS_COLD, index))
                .toList();
        List<Fault> deaths = IntStream.range(0, 3)
                .mapToObj(index -> new Fault(BEFORE.plusSeconds(10L * index), Fault.Kind.ENGINE_DIES, index))
                .toList();
        for (PolicySet policies : List.of(fixed, standard)) {
            double rate = full * FAULT_LOAD / 100;
            show("all cold", FAULT_LOAD, seed -> withFaults(rate, seed, allCold), policies);
            show("3 engines die", FAULT_LOAD, seed -> withFaults(rate, seed, deaths), policies);
        }
        for (PolicySet policies : List.of(standard, PolicySets.withoutZoneRamp(deployment.engine()))) {
            double rate = full * ZONE_LOAD / 100;
            show("zone before", ZONE_LOAD, seed -> zonePhase(rate, seed, 0), policies);
            show("zone out", ZONE_LOAD, seed -> zonePhase(rate, seed, 1), policies);
            show("zone back", ZONE_LOAD, seed -> zonePhase(rate, seed, 2), policies);
        }
    }

    private void show(String fault, int load, LongFunction<RunSettings> settings, PolicySet policies) {
        Summary summary = new Summary(
                fault + ": " + policies.name(),
                load,
                runner.run(settings, policies).join());
        table.add(summary);
        table.note(String.format(
                Locale.ROOT,
                "cold violations %.0f, broken %.0f, false refusals %.0f, attempts a call %.3f",
                summary.sum(RunResult::coldViolations),
                summary.sum(RunResult::broken),
                summary.sum(RunResult::falseRefusals),
                summary.sum(RunResult::attempts)
                        / summary.sum(result -> result.answered() + result.refused() + result.broken())));
    }

    private RunSettings withFaults(double rate, long seed, List<Fault> faults) {
        return runner.settings(deployment, rate, 1, seed).withFaults(faults);
    }

    /** Measures one phase of a run in which the first zone is out for the second phase. */
    private RunSettings zonePhase(double rate, long seed, int phase) {
        Duration duration = BEFORE.plus(PHASE.multipliedBy(4));
        List<Arrival> arrivals = Workload.atTokenRate(WorkloadSpec.standard(1, duration), rate, seed);
        Duration from = BEFORE.plus(PHASE.multipliedBy(phase));
        return RunSettings.of(deployment, arrivals, seed, from, PHASE)
                .withFaults(List.of(
                        new Fault(BEFORE.plus(PHASE), Fault.Kind.ZONE_OUT, 0),
                        new Fault(BEFORE.plus(PHASE.multipliedBy(2)), Fault.Kind.ZONE_IN, 0)));
    }
}
