package coriandersill.rollout;

import coriandersill.core.RouteName;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Judges by the ratios of the error rates and median latencies over all windows. It is the conventional method and the
 * baseline against which {@link SequentialJudge} is evaluated; its false alarm rate is not bounded.
 */
public final class ThresholdJudge implements Judge {
    private static final long MIN_CALLS = 100;

    private final RegressionCriteria criteria;
    private final Map<RouteName, RouteTotals> totals = new HashMap<>();
    private long newCalls;
    private boolean bad;
    private String reason = "no signal reached its criterion";

    private ThresholdJudge(JudgeSettings settings) {
        this.criteria = settings.criteria();
    }

    /** Returns a factory of judges of this kind. */
    public static JudgeFactory factory() {
        return ThresholdJudge::new;
    }

    @Override
    public Judgement observe(WindowEvidence window) {
        for (Stratum stratum : window.strata()) {
            newCalls += stratum.newCell().calls();
            totals.computeIfAbsent(stratum.route(), ignored -> new RouteTotals())
                    .add(stratum);
        }
        totals.forEach((route, total) -> Arrays.stream(Signal.values())
                .filter(signal ->
                        !bad && total.newCell.calls() >= MIN_CALLS && total.ratio(signal) >= criteria.ratio(signal))
                .forEach(signal -> {
                    bad = true;
                    reason = signal + " on " + route + ": " + total.ratio(signal) + " times the old version, criterion "
                            + criteria.ratio(signal);
                }));
        boolean enough =
                !totals.isEmpty() && totals.values().stream().allMatch(total -> total.newCell.calls() >= MIN_CALLS);
        Judgement.Finding finding = enough ? Judgement.Finding.PROVEN : Judgement.Finding.THIN;
        return new Judgement(bad ? Judgement.Finding.BAD : finding, enough ? 1 : 0, 1, bad ? 1 : 0, newCalls, reason);
    }

    /** The total counts of both versions on one route. */
    private static final class RouteTotals {
        private EvidenceCell oldCell = EvidenceCell.empty();
        private EvidenceCell newCell = EvidenceCell.empty();

        private void add(Stratum stratum) {
            oldCell = oldCell.plus(stratum.oldCell());
            newCell = newCell.plus(stratum.newCell());
        }

        private double ratio(Signal signal) {
            if (signal == Signal.ERRORS) {
                // Without failures of the old version, one is assumed, since the ratio would be infinite.
                double rate = (double) Math.max(1, oldCell.failures()) / Math.max(1, oldCell.calls());
                return (double) newCell.failures() / newCell.calls() / rate;
            }
            int buckets = median(newCell.latency(signal)) - median(oldCell.latency(signal));
            return Math.pow(2, (double) buckets / LatencyHistogram.BUCKETS_PER_DOUBLING);
        }

        private static int median(LatencyHistogram histogram) {
            int bucket = 0;
            while (bucket < LatencyHistogram.BUCKETS && histogram.countAbove(bucket) * 2 > histogram.total()) {
                bucket++;
            }
            return bucket;
        }
    }
}
