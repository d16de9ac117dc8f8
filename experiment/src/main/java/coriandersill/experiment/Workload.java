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
 * Generates workloads from a seed. The same specification and seed give the same arrivals.
 *
 * <p>Output lengths have a lognormal distribution, and a Pareto tail for one request in fifty; the median of a
 * workspace is 0.6 to 1.4 times that of the workload. Prompts have a lognormal length, and 70% of them start with one
 * of the six shared prefixes of their workspace. The requests of each workspace arrive in an independent Poisson
 * process. The first three workspaces share half of the traffic equally, and the others the rest; bursts raise the rate
 * of all workspaces for 2 s in every 10 s.
 */
public final class Workload {
    /** The maximum output length in tokens. */
    public static final int MAX_OUTPUT_TOKENS = 8_192;

    /** The mean output length of the standard workload, which gives the first estimate of the request rate. */
    private static final double MEAN_OUTPUT_TOKENS = 221;

    private static final double LARGE_WORKSPACES_TRAFFIC_FRACTION = 0.5;
    private static final int LARGE_WORKSPACE_COUNT = 3;
    /** The index of the workspace whose rate {@link WorkloadSpec#floodFactor} raises. */
    static final int FLOODING_WORKSPACE_INDEX = 3;

    private static final double BURST_SECONDS = 2;
    private static final double BURST_PERIOD_SECONDS = 10;
    private static final double PARETO_REQUESTS_FRACTION = 0.02;
    private static final double PARETO_ALPHA = 1.5;
    private static final int MIN_PARETO_TOKENS = 800;
    private static final int PREFIXES_PER_WORKSPACE = 6;
    private static final double SHARED_PREFIX_REQUESTS_FRACTION = 0.7;

    private Workload() {}

    /** Returns the arrivals, ordered by time. */
    public static List<Arrival> generate(WorkloadSpec spec, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Arrival> arrivals = new ArrayList<>();
        for (int workspace = 0; workspace < spec.workspaces(); workspace++) {
            generateArrivals(spec, workspace, random.split(), arrivals);
        }
        arrivals.sort(Comparator.comparingLong(Arrival::timeNanos));
        return List.copyOf(arrivals);
    }

    /**
     * Returns arrivals that request {@code tokensPerSecond} output tokens per second on average; the arrival times are
     * scaled to compensate for the random output lengths. A flood is additional traffic: it does not change the rate of
     * the other workspaces, but their arrivals are drawn anew.
     */
    public static List<Arrival> atTokenRate(WorkloadSpec spec, double tokensPerSecond, long seed) {
        // Generates more than the duration needs, so that the arrivals still fill it if scaling moves them closer
        // together.
        Duration extendedDuration = spec.duration().multipliedBy(3).dividedBy(2);
        WorkloadSpec extendedSpec = spec.withDuration(extendedDuration).withRate(tokensPerSecond / MEAN_OUTPUT_TOKENS);
        double actualTokensPerSecond =
                totalOutputTokens(generate(extendedSpec.withFlood(1), seed)) / (extendedDuration.toNanos() / 1e9);
        double timeScale = actualTokensPerSecond / tokensPerSecond;
        return generate(extendedSpec, seed).stream()
                .map(arrival -> arrival.withTimeNanos((long) (arrival.timeNanos() * timeScale)))
                .filter(arrival -> arrival.timeNanos() < spec.duration().toNanos())
                .toList();
    }

    /** Returns the name of the workspace with this index. */
    public static WorkspaceName workspaceName(int index) {
        return WorkspaceName.of("workspace-" + index);
    }

    private static long totalOutputTokens(List<Arrival> arrivals) {
        return arrivals.stream()
                .mapToLong(arrival -> arrival.request().outputTokens())
                .sum();
    }

    private static void generateArrivals(
            WorkloadSpec spec, int workspace, RandomGenerator random, List<Arrival> arrivals) {
        double endSeconds = spec.duration().toNanos() / 1e9;
        double meanRate = spec.requestsPerSecond() * trafficFraction(spec, workspace);
        double meanBurstFactor = 1 + (spec.burstFactor() - 1) * BURST_SECONDS / BURST_PERIOD_SECONDS;
        double peakRate = meanRate * Math.max(spec.burstFactor(), 1) * spec.floodFactor() / meanBurstFactor;
        double seconds = exponential(random, peakRate);
        while (seconds < endSeconds) {
            boolean secondHalf = seconds > endSeconds / 2;
            double rate = meanRate / meanBurstFactor;
            rate *= seconds % BURST_PERIOD_SECONDS < BURST_SECONDS ? spec.burstFactor() : 1;
            rate *= workspace == FLOODING_WORKSPACE_INDEX ? spec.floodFactor() : 1;
            // Thinning: draws candidates at the peak rate and keeps each with the probability rate / peakRate.
            if (random.nextDouble() * peakRate < rate) {
                double outputFactor = secondHalf && workspace == 0 ? spec.secondHalfOutputFactor() : 1;
                arrivals.add(arrival(spec, workspace, (long) (seconds * 1e9), outputFactor, random));
            }
            seconds += exponential(random, peakRate);
        }
    }

    private static Arrival arrival(
            WorkloadSpec spec, int workspace, long timeNanos, double outputFactor, RandomGenerator random) {
        double workspaceFactor = 0.6 + 0.8 * workspace / Math.max(1, spec.workspaces() - 1);
        double median = spec.medianOutputTokens() * workspaceFactor * outputFactor;
        int output = outputTokens(median, spec.outputSigma(), random);
        boolean shared = random.nextDouble() < SHARED_PREFIX_REQUESTS_FRACTION;
        int prefixIndex = random.nextInt(PREFIXES_PER_WORKSPACE);
        int prefixTokens = shared ? 96 + 48 * prefixIndex : 0;
        long prefix = shared ? 1L + workspace * 100L + prefixIndex : 0;
        int prompt = prefixTokens + (int) Math.min(2_000, 20 + lognormal(random, 110, 0.8));
        EngineRequest request = new EngineRequest(CallId.random(random), prompt, prefix, prefixTokens, output, 0);
        WorkspaceName name = workspaceName(workspace);
        return new Arrival(
                timeNanos, random.nextInt(spec.entries()), name, weight(workspace), MAX_OUTPUT_TOKENS, request);
    }

    private static int outputTokens(double median, double sigma, RandomGenerator random) {
        double length = random.nextDouble() < PARETO_REQUESTS_FRACTION
                ? MIN_PARETO_TOKENS / Math.pow(1 - random.nextDouble(), 1 / PARETO_ALPHA)
                : lognormal(random, median, sigma);
        return (int) Math.max(1, Math.min(MAX_OUTPUT_TOKENS, length));
    }

    private static double weight(int workspace) {
        return workspace < LARGE_WORKSPACE_COUNT ? 2 : 1;
    }

    private static double trafficFraction(WorkloadSpec spec, int workspace) {
        int large = Math.min(LARGE_WORKSPACE_COUNT, spec.workspaces());
        int small = spec.workspaces() - large;
        if (small == 0) {
            return 1.0 / large;
        }
        return workspace < large
                ? LARGE_WORKSPACES_TRAFFIC_FRACTION / large
                : (1 - LARGE_WORKSPACES_TRAFFIC_FRACTION) / small;
    }

    private static double lognormal(RandomGenerator random, double median, double sigma) {
        return median * Math.exp(sigma * random.nextGaussian());
    }

    private static double exponential(RandomGenerator random, double rate) {
        return -Math.log(1 - random.nextDouble()) / rate;
    }
}
