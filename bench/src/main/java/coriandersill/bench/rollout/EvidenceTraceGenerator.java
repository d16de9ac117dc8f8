package coriandersill.bench.rollout;

import coriandersill.rollout.EvidenceCell;
import coriandersill.rollout.LatencyHistogram;
import coriandersill.rollout.Stratum;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Prints a trace of simulated rollout evidence as CSV, with one line for each window and route of a single zone.
 *
 * <p>Arguments: scenario, seed, number of windows, traffic share of the new version.
 */
public final class EvidenceTraceGenerator {
    private static final double REQUESTS_PER_SECOND = 40;

    private EvidenceTraceGenerator() {}

    /** Prints the trace; see the class comment for the arguments. */
    public static void main(String[] args) {
        RolloutScenario scenario = RolloutScenario.valueOf(args[0]);
        int windows = Integer.parseInt(args[2]);
        double share = Double.parseDouble(args[3]);
        SplittableRandom random = new SplittableRandom(Long.parseLong(args[1]));
        RolloutWorkload workload = RolloutWorkload.of(RolloutWorkload.Size.SHORT, random);
        RolloutWorkload singleZone = new RolloutWorkload(
                REQUESTS_PER_SECOND,
                workload.routes(),
                workload.zones().subList(0, 1),
                workload.timeToDeadline(),
                Duration.ZERO);
        SimulatedTraffic traffic = new SimulatedTraffic(singleZone, scenario, random);
        System.out.println("window,share,route,zone,old calls,failures,first token,between tokens,new calls,...");
        for (int window = 0; window < windows; window++) {
            List<Stratum> strata = traffic.sampleWindow((double) window / windows, share);
            for (Stratum stratum : strata) {
                System.out.println(String.join(
                        ",",
                        String.valueOf(window),
                        args[3],
                        stratum.route().value(),
                        stratum.zone().value(),
                        cell(stratum.oldCell()),
                        cell(stratum.newCell())));
            }
        }
    }

    private static String cell(EvidenceCell cell) {
        return String.join(
                ",",
                String.valueOf(cell.calls()),
                String.valueOf(cell.failures()),
                histogram(cell.firstToken()),
                histogram(cell.betweenTokens()));
    }

    private static String histogram(LatencyHistogram histogram) {
        StringBuilder text = new StringBuilder();
        for (int bucket = 0; bucket < LatencyHistogram.BUCKETS; bucket++) {
            if (histogram.count(bucket) > 0) {
                text.append(text.isEmpty() ? "" : " ")
                        .append(bucket)
                        .append(':')
                        .append(histogram.count(bucket));
            }
        }
        return text.toString();
    }
}
