package coriandersill.rollout;

import coriandersill.core.RouteName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;

/**
 * Compares two versions on a few dozen calls, by exact binomial tests on cumulative counts.
 *
 * <p>A call is slow if it takes more than the criterion times the upper quartile of the old version on its route. The
 * number of failed and of slow calls of the new version is tested against the rate of the old one, plus a tolerance,
 * for each route and for all routes together. Causes that affect both versions raise both rates.
 *
 * <p>{@link SequentialJudge} needs windows of several seconds and hundreds of calls, but has a false alarm rate that
 * holds for any number of looks. Here the rate of a look is {@link #MAX_TAIL_PROBABILITY} for each test.
 */
public final class FewCallsJudge {
    /** The probability, under the old version's rate, below which a number of bad calls is an alarm. */
    public static final double MAX_TAIL_PROBABILITY = 1e-4;

    /** The number of calls of the new version after which it counts as proven if nothing is suspicious. */
    public static final long MIN_CALLS = 12;

    /** The number of bad calls below which there is no alarm. */
    private static final long MIN_BAD_CALLS = 4;

    /** The number of latencies of the old version from which its quantiles are used. */
    private static final long MIN_OLD_LATENCIES = 8;

    /** The factor by which the new version's rate of bad calls may exceed the old one's. */
    private static final double TOLERATED_RATE_RATIO = 1.5;

    private static final double SLOW_QUANTILE = 0.75;

    /** The probability below which evidence is suspicious, so that the version does not count as proven. */
    private static final double SUSPICIOUS_TAIL_PROBABILITY = 0.02;

    private final RegressionCriteria criteria;

    private FewCallsJudge(RegressionCriteria criteria) {
        this.criteria = Objects.requireNonNull(criteria, "criteria");
    }

    /** Returns a judge with the given criteria. */
    public static FewCallsJudge of(RegressionCriteria criteria) {
        return new FewCallsJudge(criteria);
    }

    /** Returns the judgement on the counts of both versions. */
    public Judgement judge(List<Stratum> strata) {
        Map<RouteName, Cells> routes = new HashMap<>();
        for (Stratum stratum : strata) {
            routes.merge(stratum.route(), new Cells(stratum.oldCell(), stratum.newCell()), Cells::plus);
        }
        long calls = routes.values().stream()
                .mapToLong(cells -> cells.newCell().calls())
                .sum();
        List<Test> tests = new ArrayList<>();
        for (Signal signal : Signal.values()) {
            Test all = new Test(signal, "all routes", 0, 0, 0, 0);
            for (Map.Entry<RouteName, Cells> route : routes.entrySet()) {
                Test test = test(signal, route.getKey(), route.getValue());
                tests.add(test);
                all = all.plus(test);
            }
            tests.add(all);
        }
        Test strongest = tests.stream()
                .min((a, b) -> Double.compare(a.tailProbability(), b.tailProbability()))
                .orElseThrow();
        double tail = strongest.tailProbability();
        Judgement.Finding finding = Judgement.Finding.THIN;
        if (tail < MAX_TAIL_PROBABILITY && strongest.badNew() >= MIN_BAD_CALLS) {
            finding = Judgement.Finding.BAD;
        } else if (calls >= MIN_CALLS && tail > SUSPICIOUS_TAIL_PROBABILITY) {
            finding = Judgement.Finding.PROVEN;
        }
        double suspicion = Math.log(tail) / Math.log(MAX_TAIL_PROBABILITY);
        double progress = calls / (double) MIN_CALLS;
        return new Judgement(finding, progress, progress, suspicion, calls, strongest.describe());
    }

    private Test test(Signal signal, RouteName route, Cells cells) {
        EvidenceCell oldCell = cells.oldCell();
        EvidenceCell newCell = cells.newCell();
        if (signal == Signal.ERRORS) {
            return new Test(
                    signal, route.value(), oldCell.failures(), oldCell.calls(), newCell.failures(), newCell.calls());
        }
        LatencyHistogram oldLatency = oldCell.latency(signal);
        LatencyHistogram newLatency = newCell.latency(signal);
        if (oldLatency.total() < MIN_OLD_LATENCIES) {
            return new Test(signal, route.value(), 0, 0, 0, 0);
        }
        double doublings = Math.log(criteria.ratio(signal)) / Math.log(2);
        int slowBucket = quantile(oldLatency) + (int) Math.ceil(doublings * LatencyHistogram.BUCKETS_PER_DOUBLING);
        return new Test(
                signal,
                route.value(),
                oldLatency.countAbove(slowBucket),
                oldLatency.total(),
                newLatency.countAbove(slowBucket),
                newLatency.total());
    }

    private static int quantile(LatencyHistogram histogram) {
        int bucket = 0;
        while (histogram.countAbove(bucket) > histogram.total() * (1 - SLOW_QUANTILE)) {
            bucket++;
        }
        return bucket;
    }

    /** Returns the probability of {@code k} or more successes in {@code n} trials. */
    static double binomialTail(long n, long k, double probability) {
        double sum = 0;
        double logChoose = 0;
        for (long i = 0; i <= n; i++) {
            if (i > 0) {
                logChoose += Math.log((n - i + 1) / (double) i);
            }
            if (i >= k) {
                sum += Math.exp(logChoose + i * Math.log(probability) + (n - i) * Math.log1p(-probability));
            }
        }
        return Math.min(1, sum);
    }

    private record Cells(EvidenceCell oldCell, EvidenceCell newCell) {
        private Cells plus(Cells other) {
            return new Cells(oldCell.plus(other.oldCell), newCell.plus(other.newCell));
        }
    }

    /** The bad calls and all calls of both versions, by one signal. */
    private record Test(Signal signal, String where, long badOld, long oldCalls, long badNew, long newCalls) {
        private static final double MAX_RATE = 0.9;

        private Test plus(Test other) {
            return new Test(
                    signal,
                    where,
                    badOld + other.badOld,
                    oldCalls + other.oldCalls,
                    badNew + other.badNew,
                    newCalls + other.newCalls);
        }

        private double tailProbability() {
            if (oldCalls == 0 || badNew == 0) {
                return 1;
            }
            // One bad call more than seen is assumed, since a rate of 0 would make any bad call an alarm.
            double rate = (badOld + 1.0) / (oldCalls + 2.0);
            return binomialTail(newCalls, badNew, Math.min(MAX_RATE, rate * TOLERATED_RATE_RATIO));
        }

        private String describe() {
            return String.format(
                    Locale.ROOT,
                    "%s on %s: %d of %d calls are bad, of the old version %d of %d",
                    signal.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                    where,
                    badNew,
                    newCalls,
                    badOld,
                    oldCalls);
        }
    }
}
