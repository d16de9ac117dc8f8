package coriandersill.rollout;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.RouteName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Judges by sequential likelihood ratio tests, whose false alarm rate holds however often they are evaluated.
 *
 * <pre>{@code
 * Judge judge = SequentialJudge.factory().create(settings);
 * Judgement judgement = judge.observe(window);
 * }</pre>
 *
 * <p>The new version is compared with the old one on the same route, in the same zone and window, so that causes that
 * affect both cancel out. Each signal has one test per route and one over all routes together; the latter uses half of
 * the false alarm rate. A version whose latency ratio is at most the square root of its criterion, or whose error ratio
 * is at most the tenth root of its criterion, is found bad only at the configured false alarm rate, however noisy it
 * is.
 *
 * <p>The rate holds if the calls of a window fail independently or if bursts of failures stay within a window; longer
 * bursts can raise it.
 */
public final class SequentialJudge implements Judge {
    /** The maximum that one window may add to a test, in nats; see {@link SequentialTest}. */
    private static final double MAX_LOG_RATIO_PER_WINDOW = 4;

    private static final double ERROR_TOLERANCE_EXPONENT = 0.1;
    private static final double LATENCY_TOLERANCE_EXPONENT = 0.5;
    /** The log-likelihood ratio that a call is expected to add in a latency test if the version is bad, in nats. */
    private static final double EXPECTED_LATENCY_NATS_PER_CALL = 0.1;

    private static final double MIN_REPORTED_SUSPICION = 0.25;
    /**
     * The lower bound of the error rate assumed for the old version; without errors no sample would be large enough.
     */
    private static final double MIN_ASSUMED_ERROR_RATE = 0.005;

    private final JudgeSettings settings;
    private final ChangePointPrior prior;
    private final List<SignalTest> tests = new ArrayList<>();
    private final ErrorLikelihoodRatios errorRatios;
    private final Map<LatencyKey, LatencyLikelihoodRatios> latencyRatios = new HashMap<>();
    private final EffectiveSampleSizes sampleSizes = new EffectiveSampleSizes();
    private Judgement last = Judgement.none();

    private SequentialJudge(JudgeSettings settings) {
        this.settings = settings;
        this.prior = new ChangePointPrior(settings.plannedWindows());
        this.errorRatios = new ErrorLikelihoodRatios(tolerance(Signal.ERRORS));
        for (Signal signal : Signal.values()) {
            double rate = settings.falseAlarmRate() * falseAlarmFraction(signal) / 2;
            tests.add(new SignalTest(signal, null, Math.log(1 / rate)));
            double ratePerRoute = rate / settings.routes().size();
            settings.routes().forEach(route -> tests.add(new SignalTest(signal, route, Math.log(1 / ratePerRoute))));
        }
    }

    /** Returns a factory of judges of this kind. */
    public static JudgeFactory factory() {
        return SequentialJudge::new;
    }

    @Override
    public Judgement observe(WindowEvidence window) {
        if (last.finding() == Judgement.Finding.BAD) {
            return last;
        }
        double weight = prior.nextWeight(window.share());
        for (Signal signal : Signal.values()) {
            Map<RouteName, double[]> byRoute = new HashMap<>();
            double[] allRoutes = new double[alternativeCount(signal)];
            for (Stratum stratum : window.strata()) {
                double[] ratios = logRatios(signal, stratum);
                addTo(allRoutes, ratios);
                addTo(byRoute.computeIfAbsent(stratum.route(), ignored -> new double[ratios.length]), ratios);
            }
            tests.stream()
                    .filter(test -> test.signal == signal)
                    .forEach(test -> test.sequentialTest.update(
                            test.route == null
                                    ? allRoutes
                                    : byRoute.getOrDefault(test.route, new double[alternativeCount(signal)]),
                            weight));
        }
        sampleSizes.beginWindow(window.share());
        window.strata().forEach(sampleSizes::add);
        last = judgement();
        return last;
    }

    private double[] logRatios(Signal signal, Stratum stratum) {
        double[] ratios = new double[alternativeCount(signal)];
        if (signal == Signal.ERRORS) {
            errorRatios.addTo(ratios, stratum.oldCell(), stratum.newCell());
        } else {
            latencyRatios
                    .computeIfAbsent(
                            new LatencyKey(signal, stratum.route(), stratum.zone()),
                            ignored -> new LatencyLikelihoodRatios(tolerance(signal)))
                    .addTo(
                            ratios,
                            stratum.oldCell().latency(signal),
                            stratum.newCell().latency(signal));
        }
        return ratios;
    }

    private static int alternativeCount(Signal signal) {
        return signal == Signal.ERRORS
                ? ErrorLikelihoodRatios.alternativeCount()
                : LatencyLikelihoodRatios.alternativeCount();
    }

    private static void addTo(double[] sums, double[] ratios) {
        for (int i = 0; i < sums.length; i++) {
            sums[i] += ratios[i];
        }
    }

    private Judgement judgement() {
        SignalTest strongest = tests.stream()
                .max(Comparator.comparingDouble(SignalTest::suspicion))
                .orElseThrow();
        double suspicion = strongest.suspicion();
        double requiredSize = requiredSampleSize();
        double progress = sampleSizes.smallest() / requiredSize;
        Judgement.Finding finding = Judgement.Finding.THIN;
        if (suspicion >= 1) {
            finding = Judgement.Finding.BAD;
        } else if (progress >= 1) {
            finding = Judgement.Finding.PROVEN;
        }
        double stepProgress = sampleSizes.smallestSinceStep() / requiredSize;
        return new Judgement(
                finding, progress, stepProgress, Math.max(0, suspicion), sampleSizes.newCalls(), strongest.describe());
    }

    /** Returns the effective sample size on a route at which a bad version is expected to raise an alarm. */
    private double requiredSampleSize() {
        double rate = Math.max(MIN_ASSUMED_ERROR_RATE, sampleSizes.oldErrorRate());
        double ratio = settings.criteria().errorRatio();
        double tolerance = tolerance(Signal.ERRORS);
        // The relative entropy, per call, of Poisson failure counts at the criterion ratio and at the tolerated ratio.
        double natsPerCall = rate * (ratio * Math.log(ratio / tolerance) - (ratio - tolerance));
        return maxAlarmLevel() / Math.min(natsPerCall, EXPECTED_LATENCY_NATS_PER_CALL);
    }

    private double maxAlarmLevel() {
        return tests.stream().mapToDouble(test -> test.alarmLevel).max().orElseThrow();
    }

    /** Returns the fraction of the false alarm rate allotted to a signal; errors are rare and need the most calls. */
    private static double falseAlarmFraction(Signal signal) {
        return signal == Signal.ERRORS ? 0.8 : 0.1;
    }

    private double tolerance(Signal signal) {
        double exponent = signal == Signal.ERRORS ? ERROR_TOLERANCE_EXPONENT : LATENCY_TOLERANCE_EXPONENT;
        return Math.pow(settings.criteria().ratio(signal), exponent);
    }

    /** The test of one signal on one route, or on all routes together if the route is null. */
    private static final class SignalTest {
        private final Signal signal;
        private final RouteName route;
        private final double alarmLevel;
        private final SequentialTest sequentialTest;

        private SignalTest(Signal signal, RouteName route, double alarmLevel) {
            this.signal = signal;
            this.route = route;
            this.alarmLevel = alarmLevel;
            this.sequentialTest = new SequentialTest(alternativeCount(signal), MAX_LOG_RATIO_PER_WINDOW);
        }

        private double suspicion() {
            return sequentialTest.logEvidence() / alarmLevel;
        }

        private String describe() {
            if (suspicion() < MIN_REPORTED_SUSPICION) {
                return "nothing near an alarm";
            }
            return String.format(
                    Locale.ROOT,
                    "%s on %s: evidence %.1f of %.1f nats",
                    signal.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                    route == null ? "all routes" : route.value(),
                    sequentialTest.logEvidence(),
                    alarmLevel);
        }
    }

    private record LatencyKey(Signal signal, RouteName route, AvailabilityZone zone) {}
}
