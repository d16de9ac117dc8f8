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
    private long calls;
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
            calls += stratum.to().calls();
            totals.computeIfAbsent(stratum.route(), ignored -> new RouteTotals())
                    .add(stratum);
        }
        totals.forEach((route, total) -> Arrays.stream(Signal.values())
                .filter(signal ->
                        !bad && total.to.calls() >= MIN_CALLS && total.ratio(signal) >= criteria.ratio(signal))
                .forEach(signal -> {
                    bad = true;
                    reason = signal + " on " + route + ": " + total.ratio(signal) + " times the old version, criterion "
                            + criteria.ratio(signal);
                }));
        boolean enough = !totals.isEmpty() && totals.values().stream().allMatch(total -> total.to.calls() >= MIN_CALLS);
        Judgement.Finding finding = enough ? Judgement.Finding.PROVEN : Judgement.Finding.THIN;
        return new Judgement(bad ? Judgement.Finding.BAD : finding, enough ? 1 : 0, 1, bad ? 1 : 0, calls, reason);
    }

    /** The total counts of both versions on one route. */
    private static final class RouteTotals {
        private EvidenceCell from = EvidenceCell.empty();
        private EvidenceCell to = EvidenceCell.empty();

        private void add(Stratum stratum) {
            from = from.plus(stratum.from());
            to = to.plus(stratum.to());
        }

        private double ratio(Signal signal) {
            if (signal == Signal.ERRORS) {
                double rate = (double) Math.max(1, from.failures()) / Math.max(1, from.calls());
                return (double) to.failures() / to.calls() / rate;
            }
            int buckets = median(to.latency(signal)) - median(from.latency(signal));
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
