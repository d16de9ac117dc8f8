package coriandersill.experiment;

import coriandersill.core.CallId;
import coriandersill.core.WorkspaceName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Generates workloads from a seed; the same specification and seed give the same arrivals.
 *
 * <p>Output lengths are lognormal with a Pareto tail for one request in fifty. Every workspace arrives by a Poisson
 * process of its own; bursts raise the rate of all of them for 2 s in every 10 s.
 */
public final class Workload {
    /** The largest output in tokens. */
    public static final int MAX_OUTPUT_TOKENS = 8_192;

    /** The mean output of the usual workload, from which a first rate of requests is taken. */
    private static final double MEAN_OUTPUT_TOKENS = 221;

    private static final double LARGE_SHARE = 0.5;
    private static final int LARGE_WORKSPACES = 3;
    private static final int FLOODING_WORKSPACE = 3;
    private static final double BURST_SECONDS = 2;
    private static final double BURST_PERIOD_SECONDS = 10;
    private static final double PARETO_SHARE = 0.02;
    private static final double PARETO_ALPHA = 1.5;
    private static final int PARETO_MINIMUM = 800;
    private static final int PREFIXES = 6;
    private static final double PREFIX_SHARE = 0.7;

    private Workload() {}

    /** Returns the arrivals in order of time. */
    public static List<Arrival> generate(WorkloadSpec spec, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Arrival> arrivals = new ArrayList<>();
        for (int workspace = 0; workspace < spec.workspaces(); workspace++) {
            generateWorkspace(spec, workspace, random.split(), arrivals);
        }
        arrivals.sort(Comparator.comparingLong(Arrival::atNanos));
        return List.copyOf(arrivals);
    }

    /**
     * Returns arrivals that ask for {@code tokensPerSecond} over the specified duration, whatever lengths are drawn. A
     * flood comes on top and leaves the arrivals of the other workspaces as they are.
     */
    public static List<Arrival> atTokenRate(WorkloadSpec spec, double tokensPerSecond, long seed) {
        Duration longer = spec.duration().multipliedBy(3).dividedBy(2);
        WorkloadSpec drawn = spec.withDuration(longer).withRate(tokensPerSecond / MEAN_OUTPUT_TOKENS);
        double actual = tokens(generate(drawn.withFlood(1), seed)) / (longer.toNanos() / 1e9);
        double stretch = actual / tokensPerSecond;
        return generate(drawn, seed).stream()
                .map(arrival -> arrival.at((long) (arrival.atNanos() * stretch)))
                .filter(arrival -> arrival.atNanos() < spec.duration().toNanos())
                .toList();
    }

    /** Returns the name of the workspace with this index. */
    public static WorkspaceName workspaceName(int index) {
        return WorkspaceName.of("workspace-" + index);
    }

    private static long tokens(List<Arrival> arrivals) {
        return arrivals.stream()
                .mapToLong(arrival -> arrival.request().outputTokens())
                .sum();
    }

    private static void generateWorkspace(
            WorkloadSpec spec, int workspace, RandomGenerator random, List<Arrival> arrivals) {
        double end = spec.duration().toNanos() / 1e9;
        double meanRate = spec.requestsPerSecond() * share(spec, workspace);
        double burstMean = 1 + (spec.burstFactor() - 1) * BURST_SECONDS / BURST_PERIOD_SECONDS;
        double peak = meanRate * Math.max(spec.burstFactor(), 1) * spec.floodFactor() / burstMean;
        double time = exponential(random, peak);
        while (time < end) {
            boolean late = time > end / 2;
            double rate = meanRate / burstMean;
            rate *= time % BURST_PERIOD_SECONDS < BURST_SECONDS ? spec.burstFactor() : 1;
            rate *= workspace == FLOODING_WORKSPACE ? spec.floodFactor() : 1;
            if (random.nextDouble() * peak < rate) {
                double shift = late && workspace == 0 ? spec.shiftFactor() : 1;
                arrivals.add(arrival(spec, workspace, (long) (time * 1e9), shift, random));
            }
            time += exponential(random, peak);
        }
    }

    private static Arrival arrival(
            WorkloadSpec spec, int workspace, long atNanos, double shift, RandomGenerator random) {
        double workspaceFactor = 0.6 + 0.8 * workspace / Math.max(1, spec.workspaces() - 1);
        double median = spec.medianOutput() * workspaceFactor * shift;
        int output = outputTokens(median, spec.outputSigma(), random);
        boolean shared = random.nextDouble() < PREFIX_SHARE;
        int prefixIndex = random.nextInt(PREFIXES);
        int prefixTokens = shared ? 96 + 48 * prefixIndex : 0;
        long prefix = shared ? 1L + workspace * 100L + prefixIndex : 0;
        int prompt = prefixTokens + (int) Math.min(2_000, 20 + lognormal(random, 110, 0.8));
        EngineRequest request = new EngineRequest(CallId.random(random), prompt, prefix, prefixTokens, output, 0);
        WorkspaceName name = workspaceName(workspace);
        return new Arrival(
                atNanos, random.nextInt(spec.entries()), name, weight(workspace), MAX_OUTPUT_TOKENS, request);
    }

    private static int outputTokens(double median, double sigma, RandomGenerator random) {
        double length = random.nextDouble() < PARETO_SHARE
                ? PARETO_MINIMUM / Math.pow(1 - random.nextDouble(), 1 / PARETO_ALPHA)
                : lognormal(random, median, sigma);
        return (int) Math.max(1, Math.min(MAX_OUTPUT_TOKENS, length));
    }

    private static double weight(int workspace) {
        return workspace < LARGE_WORKSPACES ? 2 : 1;
    }

    private static double share(WorkloadSpec spec, int workspace) {
        int large = Math.min(LARGE_WORKSPACES, spec.workspaces());
        int small = spec.workspaces() - large;
        if (small == 0) {
            return 1.0 / large;
        }
        return workspace < large ? LARGE_SHARE / large : (1 - LARGE_SHARE) / small;
    }

    private static double lognormal(RandomGenerator random, double median, double sigma) {
        return median * Math.exp(sigma * random.nextGaussian());
    }

    private static double exponential(RandomGenerator random, double rate) {
        return -Math.log(1 - random.nextDouble()) / rate;
    }
}
