package coriandersill.experiment;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * The means over the seeds of one policy set at one load.
 *
 * @param policies the policies
 * @param load the load in percent of the sustainable one
 * @param results one for each seed
 */
record Summary(String policies, int load, List<RunResult> results) {
    double mean(ToDoubleFunction<RunResult> measure) {
        return results.stream().mapToDouble(measure).average().orElse(0);
    }

    double sum(ToDoubleFunction<RunResult> measure) {
        return results.stream().mapToDouble(measure).sum();
    }

    double goodput() {
        return mean(RunResult::goodput);
    }

    double stallSeconds() {
        return mean(RunResult::stallSeconds);
    }

    double betweenP99() {
        return mean(result -> result.between().p99());
    }
}
