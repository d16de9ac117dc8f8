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
    private static final double ERROR_TOLERANCE_EXPONENT = 0.1;
    private static final double LATENCY_TOLERANCE_EXPONENT = 0.5;
    private static final double EXPECTED_LATENCY_NATS_PER_CALL = 0.1;
    private static final double WORTH_NAMING = 0.25;
    private static final double LEAST_ERROR_RATE = 0.005;

    private final JudgeSettings settings;
    private final ChangePointPrior weights;
    private final List<Unit> units = new ArrayList<>();
    private final ErrorLikelihoodRatios errors;
    private final Map<Place, LatencyLikelihoodRatios> latencies = new HashMap<>();
    private final EffectiveSampleSizes evidence = new EffectiveSampleSizes();
    private Judgement last = Judgement.none();

    private SequentialJudge(JudgeSettings settings) {
        this.settings = settings;
        this.weights = new ChangePointPrior(settings.plannedWindows());
        this.errors = new ErrorLikelihoodRatios(tolerance(Signal.ERRORS));
        for (Signal signal : Signal.values()) {
            double rate = settings.falseAlarmRate() * alarmPart(signal) / 2;
            units.add(new Unit(signal, null, Math.log(1 / rate)));
            double share = rate / settings.routes().size();
            settings.routes().forEach(route -> units.add(new Unit(signal, route, Math.log(1 / share))));
        }
    }

    /** Returns the policy. */
    public static JudgeFactory factory() {
        return SequentialJudge::new;
    }

    @Override
    public Judgement observe(WindowEvidence window) {
        if (last.finding() == Judgement.Finding.BAD) {
            return last;
        }
        double weight = weights.next(window.share());
        for (Signal signal : Signal.values()) {
            Map<RouteName, double[]> byRoute = new HashMap<>();
            double[] all = new double[alternatives(signal)];
            for (Stratum stratum : window.strata()) {
                double[] ratios = logRatios(signal, stratum);
                addTo(all, ratios);
                addTo(byRoute.computeIfAbsent(stratum.route(), ignored -> new double[ratios.length]), ratios);
            }
            units.stream()
                    .filter(unit -> unit.signal == signal)
                    .forEach(unit -> unit.test.update(
                            unit.route == null
                                    ? all
                                    : byRoute.getOrDefault(unit.route, new double[alternatives(signal)]),
                            weight));
        }
        evidence.nextWindow(window.share());
        window.strata().forEach(evidence::add);
        last = judgement();
        return last;
    }

    private double[] logRatios(Signal signal, Stratum stratum) {
        double[] ratios = new double[alternatives(signal)];
        if (signal == Signal.ERRORS) {
            errors.addTo(ratios, stratum.from(), stratum.to());
        } else {
            latencies
                    .computeIfAbsent(
                            new Place(signal, stratum.route(), stratum.zone()),
                            ignored -> new LatencyLikelihoodRatios(tolerance(signal)))
                    .addTo(ratios, stratum.from().latency(signal), stratum.to().latency(signal));
        }
        return ratios;
    }

    private static int alternatives(Signal signal) {
        return signal == Signal.ERRORS ? ErrorLikelihoodRatios.alternatives() : LatencyLikelihoodRatios.alternatives();
    }

    private static void addTo(double[] sums, double[] ratios) {
        for (int i = 0; i < sums.length; i++) {
            sums[i] += ratios[i];
        }
    }

    private Judgement judgement() {
        Unit strongest =
                units.stream().max(Comparator.comparingDouble(Unit::suspicion)).orElseThrow();
        double suspicion = strongest.suspicion();
        double needed = callsToExpose();
        double progress = evidence.thinnestRoute() / needed;
        Judgement.Finding finding = Judgement.Finding.THIN;
        if (suspicion >= 1) {
            finding = Judgement.Finding.BAD;
        } else if (progress >= 1) {
            finding = Judgement.Finding.PROVEN;
        }
        double stepProgress = evidence.thinnestRouteSinceStep() / needed;
        return new Judgement(
                finding, progress, stepProgress, Math.max(0, suspicion), evidence.calls(), strongest.describe());
    }

    /** Returns how many weighed calls on a route let a version that is bad by the criteria raise the alarm. */
    private double callsToExpose() {
        double rate = Math.max(LEAST_ERROR_RATE, evidence.oldErrorRate());
        double ratio = settings.criteria().errorRatio();
        double tolerance = tolerance(Signal.ERRORS);
        double natsPerCall = rate * (ratio * Math.log(ratio / tolerance) - (ratio - tolerance));
        return alarmLevel() / Math.min(natsPerCall, EXPECTED_LATENCY_NATS_PER_CALL);
    }

    private double alarmLevel() {
        return units.stream().mapToDouble(unit -> unit.alarm).max().orElseThrow();
    }

    /** Returns the part of the false alarm rate that a signal may use: failures are rare and need the most calls. */
    private static double alarmPart(Signal signal) {
        return signal == Signal.ERRORS ? 0.8 : 0.1;
    }

    private double tolerance(Signal signal) {
        double exponent = signal == Signal.ERRORS ? ERROR_TOLERANCE_EXPONENT : LATENCY_TOLERANCE_EXPONENT;
        return Math.pow(settings.criteria().ratio(signal), exponent);
    }

    /** One signal on one route, or on all of them when the route is null. */
    private static final class Unit {
        private final Signal signal;
        private final RouteName route;
        private final double alarm;
        private final SequentialTest test;

        private Unit(Signal signal, RouteName route, double alarm) {
            this.signal = signal;
            this.route = route;
            this.alarm = alarm;
            this.test = new SequentialTest(alternatives(signal), MAX_LOG_RATIO_PER_WINDOW);
        }

        private double suspicion() {
            return test.logEvidence() / alarm;
        }

        private String describe() {
            if (suspicion() < WORTH_NAMING) {
                return "nothing near an alarm";
            }
            return String.format(
                    Locale.ROOT,
                    "%s on %s: evidence %.1f of %.1f nats",
                    signal.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                    route == null ? "all routes" : route.value(),
                    test.logEvidence(),
                    alarm);
        }
    }

    private record Place(Signal signal, RouteName route, AvailabilityZone zone) {}
}
