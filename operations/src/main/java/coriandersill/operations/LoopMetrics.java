package coriandersill.operations;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import coriandersill.events.LoopGuard;
import coriandersill.events.Loops;
import java.util.Locale;

/** Metrics of a process's loops. */
public final class LoopMetrics {
    private LoopMetrics() {}

    /**
     * Registers the number of stalled loops, the number of failed steps, and for each loop that is registered by now
     * the time since its last progress, in milliseconds.
     */
    public static void register(Loops loops, MetricRegistry metrics) {
        Gauge<Integer> stalled = loops::stalledCount;
        metrics.register("loops.stalled", stalled);
        Gauge<Long> failedSteps = loops::failedSteps;
        metrics.register("loops.failed_steps", failedSteps);
        for (LoopGuard guard : loops.all()) {
            Gauge<Long> age = () -> guard.age().toMillis();
            metrics.register("loops.age_ms." + metricName(guard), age);
        }
    }

    private static String metricName(LoopGuard guard) {
        return guard.loop().toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9]+", "_");
    }
}
