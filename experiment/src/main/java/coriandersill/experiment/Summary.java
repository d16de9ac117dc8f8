package coriandersill.experiment;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * The results of one policy set in one scenario at one load, over all seeds.
 *
 * @param label the name of the policy set, the scenario or both, as shown in result tables
 * @param loadPercent the load in percent of the sustainable load; 0 while that load is not yet known
 * @param results the results, one for each seed
 */
record Summary(String label, int loadPercent, List<RunResult> results) {
    double mean(ToDoubleFunction<RunResult> measure) {
        return results.stream().mapToDouble(measure).average().orElse(0);
    }

    double sum(ToDoubleFunction<RunResult> measure) {
        return results.stream().mapToDouble(measure).sum();
    }

    double goodputTokensPerSecond() {
        return mean(RunResult::goodputTokensPerSecond);
    }

    double stallSeconds() {
        return mean(RunResult::stallSeconds);
    }

    double betweenTokensP99() {
        return mean(result -> result.betweenTokens().p99());
    }
}
