package coriandersill.bench.admission;

import coriandersill.admission.AdmissionDecision;
import coriandersill.admission.AdmissionRequest;
import coriandersill.admission.Completion;
import coriandersill.admission.LengthKey;
import coriandersill.admission.PredictiveAdmission;
import coriandersill.admission.QuantileLengthEstimator;
import coriandersill.core.CallId;
import coriandersill.core.MonotonicClock;
import coriandersill.core.RouteName;
import coriandersill.core.VersionName;
import coriandersill.core.WorkspaceName;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the cost of admitting and finishing a call, of recording a token, and of one length estimate. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class AdmissionBenchmark {
    private static final VersionName VERSION = VersionName.of("v1");
    private static final RouteName ROUTE = RouteName.of("chat");
    private static final long DISTANT_DEADLINE_NANOS = Long.MAX_VALUE / 4;

    /** The number of running calls. */
    @Param({"64", "128", "256", "512"})
    public int running;

    /** The number of workspaces that send the calls. */
    @Param({"10", "300"})
    public int workspaces;

    private final Deque<CallId> admitted = new ArrayDeque<>();
    private final QuantileLengthEstimator estimator = QuantileLengthEstimator.create();
    private PredictiveAdmission admission;
    private AdmissionRequest[] requestByWorkspace;
    private long nextSequence;

    /** Admits the running calls and trains the length estimator. */
    @Setup
    public void fill() {
        MonotonicClock clock = () -> 0;
        // The limits of memory and prefill are too high to refuse a call.
        admission = PredictiveAdmission.builder(clock)
                .concurrency(running + 1, running + 1)
                .memoryTokens(1_000_000_000)
                .maxPrefillTokens(1_000_000_000)
                .estimator(estimator)
                .headroomFraction(0)
                .build();
        requestByWorkspace = new AdmissionRequest[workspaces];
        for (int i = 0; i < workspaces; i++) {
            requestByWorkspace[i] = request(i);
            for (int j = 0; j < 20; j++) {
                estimator.observe(LengthKey.of(requestByWorkspace[i]), 0, 10 + 37 * j, true);
            }
        }
        for (int i = 0; i < running; i++) {
            offer();
        }
    }

    /** Admits one call and finishes the oldest. */
    @Benchmark
    public Object offerAndFinish() {
        AdmissionDecision decision = offer();
        admission.finished(admitted.removeFirst(), Completion.FINISHED);
        return decision;
    }

    /** Records one token of the oldest call; the memory projection is only updated every few tens of tokens. */
    @Benchmark
    public void generated() {
        CallId id = admitted.removeFirst();
        admission.generated(id, 1);
        admitted.addLast(id);
    }

    /** Estimates the remaining length of a call and takes the median. */
    @Benchmark
    public int estimate() {
        LengthKey key = LengthKey.of(requestByWorkspace[(int) (nextSequence++ % workspaces)]);
        return estimator.remaining(key, 100).quantile(0.5);
    }

    private AdmissionDecision offer() {
        AdmissionRequest request = requestByWorkspace[(int) (nextSequence % workspaces)];
        CallId id = new CallId(1, nextSequence++);
        admitted.addLast(id);
        return admission.offer(new AdmissionRequest(
                id,
                1,
                request.workspace(),
                request.weight(),
                request.route(),
                request.version(),
                request.promptTokens(),
                request.maxTokens(),
                request.priority(),
                request.deadlineNanos()));
    }

    private static AdmissionRequest request(int workspace) {
        WorkspaceName name = WorkspaceName.of("workspace-" + workspace);
        return new AdmissionRequest(
                new CallId(0, 0), 1, name, 1, ROUTE, VERSION, 300, 4_096, 0, DISTANT_DEADLINE_NANOS);
    }
}
