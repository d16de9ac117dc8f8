package coriandersill.experiment;

import coriandersill.core.WorkspaceName;
import coriandersill.quota.QuotaAmount;
import coriandersill.workers.WorkerPool;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongFunction;

/** Runs simulations on a worker pool, one for each seed. */
final class SimulationRunner {
    private static final int MAX_QUEUED_RUNS = 100_000;
    /** A concurrency that no workspace reaches, so that a cap limits only the token rate. */
    private static final int UNLIMITED_CONCURRENCY = 10_000;

    private static final Duration WARM_UP = Duration.ofSeconds(30);
    /** The time after the measured period during which calls still arrive, to keep the load constant until its end. */
    private static final Duration COOL_DOWN = Duration.ofSeconds(10);

    private final WorkerPool workers;
    private final int seedCount;
    private final Duration measured;

    SimulationRunner(int threads, int seedCount, Duration measured) {
        this.workers = WorkerPool.of("experiment", threads, MAX_QUEUED_RUNS);
        this.seedCount = seedCount;
        this.measured = measured;
    }

    /** Simulates the policies at a load without faults or caps, once for each seed starting from 1. */
    CompletableFuture<List<RunResult>> run(Deployment deployment, double tokensPerSecond, PolicySet policies) {
        return run(seed -> settings(deployment, tokensPerSecond, 1, seed), policies);
    }

    /** Simulates the policies once for each seed starting from 1, with settings that depend on the seed. */
    CompletableFuture<List<RunResult>> run(LongFunction<RunSettings> settings, PolicySet policies) {
        List<CompletableFuture<RunResult>> runs = new ArrayList<>();
        for (long seed = 1; seed <= seedCount; seed++) {
            long current = seed;
            runs.add(workers.submit(() -> Simulation.run(settings.apply(current), policies)));
        }
        return CompletableFuture.allOf(runs.toArray(CompletableFuture[]::new))
                .thenApply(done -> runs.stream().map(CompletableFuture::join).toList());
    }

    /** Returns settings for a load in which the flooding workspace sends {@code floodFactor} times its usual rate. */
    RunSettings settings(Deployment deployment, double tokensPerSecond, double floodFactor, long seed) {
        Duration duration = WARM_UP.plus(measured).plus(COOL_DOWN);
        // The rate of 1 request per second is a placeholder that atTokenRate replaces.
        WorkloadSpec spec = WorkloadSpec.standard(1, duration).withFlood(floodFactor);
        List<Arrival> arrivals = Workload.atTokenRate(spec, tokensPerSecond, seed);
        return RunSettings.of(deployment, arrivals, seed, WARM_UP, measured);
    }

    /** Returns a cap that limits the flooding workspace to this rate, or no cap if the rate is 0. */
    static Map<WorkspaceName, QuotaAmount> capOfFloodingWorkspace(double tokensPerSecond) {
        return tokensPerSecond == 0
                ? Map.of()
                : Map.of(
                        Workload.workspaceName(Workload.FLOODING_WORKSPACE_INDEX),
                        new QuotaAmount(UNLIMITED_CONCURRENCY, tokensPerSecond));
    }
}
