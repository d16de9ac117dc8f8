package coriandersill.experiment;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import coriandersill.core.CallId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Checks that the engine model loses and repeats no token when memory runs out and sequences are preempted, that it
 * crashes if it receives too many generations while cold (cases G5 and R1 in docs/design/admission.md), and that
 * workloads are reproducible; a model that behaved otherwise would invalidate the comparison of policies.
 */
final class EngineModelTest {
    private final Map<CallId, Integer> tokens = new HashMap<>();
    private final List<CallId> completed = new ArrayList<>();
    private final List<CallId> failed = new ArrayList<>();
    private final EngineListener listener = new EngineListener() {
        @Override
        public void tokenGenerated(CallId id) {
            tokens.merge(id, 1, Integer::sum);
        }

        @Override
        public void generationEnded(CallId id, boolean isCompleted) {
            (isCompleted ? completed : failed).add(id);
        }
    };
    private long nowNanos;

    /** Returns an engine that caches 32 blocks of prefixes and holds at most 3 generations while cold. */
    private static EngineSpec spec(int blocks) {
        return new EngineSpec(16, blocks, 32, 64, 128, 10_000_000, 1_000_000, 100_000, 2, 3, 1_000_000_000, 5);
    }

    private static EngineRequest request(long id, int prompt, int output, int priority) {
        return new EngineRequest(new CallId(0, id), prompt, 7, 64, output, priority);
    }

    /** Runs the engine until it has no work, and returns the length of the first iteration. */
    private long runUntilIdle(EngineModel engine) {
        long firstNanos = -1;
        long lengthNanos = engine.startIteration(nowNanos);
        while (lengthNanos >= 0) {
            firstNanos = firstNanos < 0 ? lengthNanos : firstNanos;
            nowNanos += lengthNanos;
            engine.endIteration();
            lengthNanos = engine.startIteration(nowNanos);
        }
        return firstNanos;
    }

    @Test
    void everyTokenIsDeliveredOnceWhenMemoryRunsOutDuringDecode() {
        EngineModel engine = new EngineModel(spec(40), listener);
        for (int i = 0; i < 6; i++) {
            engine.submit(request(i, 64, 200, 0), nowNanos);
        }
        runUntilIdle(engine);
        assertThat(engine.preemptions(), greaterThan(0L));
        assertThat(completed.size(), is(6));
        tokens.values().forEach(count -> assertThat(count, is(200)));
        assertThat(engine.freeBlocks(), is(40));
    }

    @Test
    void theLowestPriorityIsPreemptedFirst() {
        EngineModel engine = new EngineModel(spec(24), listener);
        engine.submit(request(1, 64, 200, 0), nowNanos);
        engine.submit(request(2, 64, 200, 5), nowNanos);
        runUntilIdle(engine);
        assertThat(engine.preemptions(), is(1L));
        assertThat(completed.get(0), is(new CallId(0, 2)));
    }

    @Test
    void aCachedPrefixShortensThePrefillAndTheCacheStaysBounded() {
        EngineModel engine = new EngineModel(spec(100), listener);
        engine.submit(request(1, 100, 3, 0), nowNanos);
        long uncachedNanos = runUntilIdle(engine);
        engine.submit(request(2, 100, 3, 0), nowNanos);
        assertThat(runUntilIdle(engine), is(lessThan(uncachedNanos)));
        for (int prefix = 10; prefix < 40; prefix++) {
            engine.prefixCache().add(prefix, 4);
        }
        assertThat(engine.prefixCache().usedBlocks(), is(32));
        assertThat(engine.prefixCache().touch(7), is(false));
    }

    @Test
    void aColdEngineCrashesAboveItsConcurrencyLimit() {
        EngineModel engine = new EngineModel(spec(100), listener);
        engine.resetToCold();
        for (int i = 0; i < 3; i++) {
            engine.submit(request(i, 32, 5, 0), nowNanos);
        }
        assertThat(engine.coldViolations(), is(0L));
        engine.submit(request(3, 32, 5, 0), nowNanos);
        assertThat(engine.coldViolations(), is(1L));
        assertThat(failed.size(), is(4));
    }

    @Test
    void aCancelledGenerationFreesItsMemoryAndEndsWithoutFurtherTokens() {
        EngineModel engine = new EngineModel(spec(100), listener);
        engine.submit(request(1, 64, 1_000, 0), nowNanos);
        engine.startIteration(nowNanos);
        engine.endIteration();
        engine.cancel(new CallId(0, 1));
        runUntilIdle(engine);
        assertThat(tokens.get(new CallId(0, 1)), is(1));
        assertThat(engine.freeBlocks(), is(100));
    }

    @Test
    void theSameSeedGivesTheSameWorkloadWithAHeavyTail() {
        WorkloadSpec spec = WorkloadSpec.standard(50, Duration.ofSeconds(40));
        List<Arrival> arrivals = Workload.generate(spec, 11);
        assertThat(Workload.generate(spec, 11), is(arrivals));
        assertThat((double) arrivals.size(), greaterThan(1_700.0));
        assertThat((double) arrivals.size(), lessThan(2_300.0));
        int[] lengths = arrivals.stream()
                .mapToInt(arrival -> arrival.request().outputTokens())
                .sorted()
                .toArray();
        assertThat(lengths[lengths.length * 99 / 100], greaterThan(10 * lengths[lengths.length / 2]));
    }
}
