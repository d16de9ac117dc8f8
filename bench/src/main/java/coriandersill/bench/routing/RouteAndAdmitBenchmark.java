package coriandersill.bench.routing;

import coriandersill.admission.AdmissionDecision;
import coriandersill.admission.AdmissionRequest;
import coriandersill.admission.Completion;
import coriandersill.admission.PredictiveAdmission;
import coriandersill.core.AvailabilityZone;
import coriandersill.core.CallId;
import coriandersill.core.InstanceId;
import coriandersill.core.MonotonicClock;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.core.WorkspaceName;
import coriandersill.routing.CallResult;
import coriandersill.routing.Candidate;
import coriandersill.routing.CandidateInfo;
import coriandersill.routing.LoadReport;
import coriandersill.routing.RouteRequest;
import coriandersill.routing.Router;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the decisions of an entry and a sidecar for one call: selecting an upstream, admitting and finishing the
 * call.
 *
 * <p>30 generations are running, so that the memory projection of the admission controller has its usual size.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 4, time = 1)
@Fork(1)
public class RouteAndAdmitBenchmark {
    private static final VersionName VERSION = VersionName.of("v1");
    private static final ServiceName SERVICE = ServiceName.of("scribe");
    private static final RouteName ROUTE = RouteName.of("completions");
    private static final int PROMPT_PREFIXES = 64;
    private static final int RUNNING_GENERATIONS = 30;
    private static final List<WorkspaceName> WORKSPACES = IntStream.range(0, 10)
            .mapToObj(index -> WorkspaceName.of("workspace-" + index))
            .toList();

    /** The number of candidate upstreams. */
    @Param({"8", "64", "512"})
    public int candidates;

    private final MonotonicClock clock = MonotonicClock.system();
    private final List<CandidateInfo> knownCandidates = new ArrayList<>();
    private Router router;
    private PredictiveAdmission admission;
    private long nextSequence;

    /** Creates the benchmark state; JMH sets the parameter afterwards. */
    public RouteAndAdmitBenchmark() {}

    /** Creates the router and the admission controller with their load. */
    @Setup(Level.Trial)
    public void prepare() {
        router = Router.builder(clock, new SplittableRandom(1)).build();
        for (int i = 0; i < candidates; i++) {
            InstanceId instance = InstanceId.of("sidecar-" + i);
            knownCandidates.add(
                    new CandidateInfo(instance, AvailabilityZone.of("shewa-" + i % 3), VERSION, 40, 25_600));
            router.recordReport(instance, new LoadReport(i % 20, 0, 40, false, 500L * (i % 20), 25_600));
        }
        admission = PredictiveAdmission.builder(clock)
                .concurrency(RUNNING_GENERATIONS * 2, RUNNING_GENERATIONS * 4)
                .memoryTokens(1_000_000)
                .build();
        for (int i = 0; i < RUNNING_GENERATIONS; i++) {
            AdmissionDecision decision = admission.offer(admissionRequest(new CallId(0, nextSequence++)));
            admission.generated(decision.id(), 10);
        }
    }

    /** Selects an upstream and finishes the call. */
    @Benchmark
    public Candidate route() {
        RouteRequest request = routeRequest();
        Candidate choice = router.select(request, knownCandidates).orElseThrow();
        router.recordFinished(choice.instance(), request, CallResult.ok(100_000_000, 30_000_000, 100));
        return choice;
    }

    /** Selects an upstream, offers the call to the admission controller, and finishes it. */
    @Benchmark
    public AdmissionDecision routeAndAdmit() {
        RouteRequest request = routeRequest();
        Candidate choice = router.select(request, knownCandidates).orElseThrow();
        // routeRequest() has increased the sequence number, so the id is new.
        AdmissionDecision decision = admission.offer(admissionRequest(new CallId(1, nextSequence)));
        admission.finished(decision.id(), Completion.CANCELLED);
        router.recordFinished(choice.instance(), request, CallResult.ok(100_000_000, 30_000_000, 100));
        return decision;
    }

    private RouteRequest routeRequest() {
        return new RouteRequest(
                SERVICE,
                ROUTE,
                VERSION,
                knownCandidates.get(0).zone(),
                1 + nextSequence++ % PROMPT_PREFIXES,
                300,
                520,
                Set.of());
    }

    private AdmissionRequest admissionRequest(CallId id) {
        WorkspaceName workspace = WORKSPACES.get((int) (id.low() % WORKSPACES.size()));
        return new AdmissionRequest(id, 1, workspace, 1, ROUTE, VERSION, 300, 4_096, 0, clock.nanos() + 1_000_000_000L);
    }
}
