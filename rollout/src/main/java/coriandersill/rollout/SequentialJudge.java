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
 * Judges by sequential likelihood ratios, sound however often they are looked at.
 *
 * <pre>{@code
 * Judge judge = SequentialJudge.policy().begin(settings);
 * Judgement judgement = judge.observe(window);
 * }</pre>
 *
 * <p>New is compared with old on the same route, in the same zone and window, so that what both suffer cancels. One
 * test runs for each signal on each route, and one for each signal over all routes together; half of the false alarm
 * rate goes to the latter. A version within the square root of a criterion's ratio is never called bad but with the
 * stated false alarm rate, however noisy. The rate holds when calls of one window fail independently or when bursts
 * stay within a window; bursts that last longer weaken it.
 */
public final class SequentialJudge implements Judge {
    private static final double MAX_LOG_RATIO_PER_WINDOW = 4;
    private static final double ERROR_TOLERANCE_EXPONENT = 0.2;
    private static final double LATENCY_TOLERANCE_EXPONENT = 0.5;
    private static final double EXPECTED_LATENCY_NATS_PER_CALL = 0.1;
    private static final double LEAST_ERROR_RATE = 0.005;

    private final JudgeSettings settings;
    private final StartWeights weights;
    private final List<Unit> units = new ArrayList<>();
    private final Map<RouteName, Double> weighedCalls = new HashMap<>();
    private long fromCalls;
    private long fromFailures;
    private long toCalls;
    private Judgement last = Judgement.none();

    private SequentialJudge(JudgeSettings settings) {
        this.settings = settings;
        this.weights = new StartWeights(settings.plannedWindows());
        double each = settings.falseAlarmRate() / 2 / Signal.values().length;
        for (Signal signal : Signal.values()) {
            units.add(new Unit(signal, null, Math.log(1 / each)));
            double share = each / settings.routes().size();
            for (RouteName route : settings.routes()) {
                units.add(new Unit(signal, route, Math.log(1 / share)));
            }
        }
    }

    /** Returns the policy. */
    public static JudgePolicy policy() {
        return SequentialJudge::new;
    }

    @Override
    public Judgement observe(WindowEvidence window) {
        if (last.finding() == Judgement.Finding.BAD) {
            return last;
        }
        double weight = weights.next(window.share());
        for (Unit unit : units) {
            unit.observe(window.strata(), weight);
        }
        window.strata().forEach(this::count);
        last = judgement();
        return last;
    }

    private void count(Stratum stratum) {
        long from = stratum.from().calls();
        long to = stratum.to().calls();
        fromCalls += from;
        fromFailures += stratum.from().failures();
        toCalls += to;
        if (from + to > 0) {
            weighedCalls.merge(stratum.route(), (double) from * to / (from + to), Double::sum);
        }
    }

    private Judgement judgement() {
        Unit strongest =
                units.stream().max(Comparator.comparingDouble(Unit::suspicion)).orElseThrow();
        double suspicion = strongest.suspicion();
        double progress = progress();
        Judgement.Finding finding = Judgement.Finding.THIN;
        if (suspicion >= 1) {
            finding = Judgement.Finding.BAD;
        } else if (progress >= 1) {
            finding = Judgement.Finding.PROVEN;
        }
        return new Judgement(finding, progress, Math.max(0, suspicion), toCalls, strongest.describe());
    }

    private double progress() {
        if (weighedCalls.isEmpty()) {
            return 0;
        }
        double thinnest = weighedCalls.values().stream()
                .mapToDouble(Double::doubleValue)
                .min()
                .orElse(0);
        return thinnest / Math.max(callsToExposeErrors(), callsToExposeLatency());
    }

    private double callsToExposeErrors() {
        double rate = Math.max(LEAST_ERROR_RATE, fromCalls == 0 ? 0 : (double) fromFailures / fromCalls);
        double ratio = settings.criteria().errorRatio();
        double tolerance = tolerance(Signal.ERRORS);
        double natsPerCall = rate * (ratio * Math.log(ratio / tolerance) - (ratio - tolerance));
        return alarmLevel() / natsPerCall;
    }

    private double callsToExposeLatency() {
        return alarmLevel() / EXPECTED_LATENCY_NATS_PER_CALL;
    }

    private double alarmLevel() {
        return Math.log(2.0 * Signal.values().length * settings.routes().size() / settings.falseAlarmRate());
    }

    private double tolerance(Signal signal) {
        double exponent = signal == Signal.ERRORS ? ERROR_TOLERANCE_EXPONENT : LATENCY_TOLERANCE_EXPONENT;
        return Math.pow(settings.criteria().ratio(signal), exponent);
    }

    /** One signal on one route, or on all of them. */
    private final class Unit {
        private final Signal signal;
        private final RouteName route;
        private final double alarm;
        private final SequentialTest test;
        private final ErrorRatios errors;
        private final Map<Place, LatencyRatios> latencies = new HashMap<>();

        private Unit(Signal signal, RouteName route, double alarm) {
            this.signal = signal;
            this.route = route;
            this.alarm = alarm;
            int alternatives = signal == Signal.ERRORS ? ErrorRatios.alternatives() : LatencyRatios.alternatives();
            this.test = new SequentialTest(alternatives, MAX_LOG_RATIO_PER_WINDOW);
            this.errors = new ErrorRatios(tolerance(signal));
        }

        private void observe(List<Stratum> strata, double weight) {
            int alternatives = signal == Signal.ERRORS ? ErrorRatios.alternatives() : LatencyRatios.alternatives();
            double[] logRatios = new double[alternatives];
            for (Stratum stratum : strata) {
                if (route == null || route.equals(stratum.route())) {
                    addTo(logRatios, stratum);
                }
            }
            test.update(logRatios, weight);
        }

        private void addTo(double[] logRatios, Stratum stratum) {
            if (signal == Signal.ERRORS) {
                errors.addTo(logRatios, stratum.from(), stratum.to());
                return;
            }
            latencies
                    .computeIfAbsent(
                            new Place(stratum.route(), stratum.zone()), ignored -> new LatencyRatios(tolerance(signal)))
                    .addTo(
                            logRatios,
                            stratum.from().latency(signal),
                            stratum.to().latency(signal));
        }

        private double suspicion() {
            return test.logEvidence() / alarm;
        }

        private String describe() {
            return String.format(
                    Locale.ROOT,
                    "%s on %s: evidence %.1f of %.1f nats",
                    signal.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                    route == null ? "all routes" : route.value(),
                    test.logEvidence(),
                    alarm);
        }
    }

    private record Place(RouteName route, AvailabilityZone zone) {}
}
