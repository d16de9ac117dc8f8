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
 * One decision of an entry and of a sidecar: choose an upstream, ask its gate, and end the call.
 *
 * <p>The gate has 30 generations running, so that the projection of its memory is of the usual size.
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
    private static final int PREFIXES = 64;
    private static final int RUNNING = 30;
    private static final List<WorkspaceName> WORKSPACES = IntStream.range(0, 10)
            .mapToObj(index -> WorkspaceName.of("workspace-" + index))
            .toList();

    /** The number of candidates. */
    @Param({"8", "64", "512"})
    public int candidates;

    private final MonotonicClock clock = MonotonicClock.system();
    private final List<CandidateInfo> known = new ArrayList<>();
    private Router router;
    private PredictiveAdmission admission;
    private long next;

    /** Creates the state; JMH fills in the parameter. */
    public RouteAndAdmitBenchmark() {}

    /** Builds the tables. */
    @Setup(Level.Trial)
    public void prepare() {
        router = Router.builder(clock, new SplittableRandom(1)).build();
        for (int i = 0; i < candidates; i++) {
            InstanceId instance = InstanceId.of("sidecar-" + i);
            known.add(new CandidateInfo(instance, AvailabilityZone.of("shewa-" + i % 3), VERSION, 40, 25_600));
            router.report(instance, new LoadReport(i % 20, 0, 40, false, 500L * (i % 20), 25_600));
        }
        admission = PredictiveAdmission.builder(clock)
                .concurrency(RUNNING * 2, RUNNING * 4)
                .memoryTokens(1_000_000)
                .build();
        for (int i = 0; i < RUNNING; i++) {
            AdmissionDecision decision = admission.offer(admissionRequest(new CallId(0, next++)));
            admission.generated(decision.id(), 10);
        }
    }

    /** Chooses an upstream and ends the call there. */
    @Benchmark
    public Candidate route() {
        RouteRequest request = routeRequest();
        Candidate choice = router.select(request, known).orElseThrow();
        router.finished(choice.instance(), request, CallResult.ok(100_000_000, 30_000_000, 100));
        return choice;
    }

    /** Does the same and passes the gate in between. */
    @Benchmark
    public AdmissionDecision routeAndAdmit() {
        RouteRequest request = routeRequest();
        Candidate choice = router.select(request, known).orElseThrow();
        AdmissionDecision decision = admission.offer(admissionRequest(new CallId(1, next)));
        admission.finished(decision.id(), Completion.CANCELLED);
        router.finished(choice.instance(), request, CallResult.ok(100_000_000, 30_000_000, 100));
        return decision;
    }

    private RouteRequest routeRequest() {
        return new RouteRequest(
                SERVICE, ROUTE, VERSION, known.get(0).zone(), 1 + next++ % PREFIXES, 300, 520, Set.of());
    }

    private AdmissionRequest admissionRequest(CallId id) {
        WorkspaceName workspace = WORKSPACES.get((int) (id.low() % WORKSPACES.size()));
        return new AdmissionRequest(id, 1, workspace, 1, ROUTE, VERSION, 300, 4_096, 0, clock.nanos() + 1_000_000_000L);
    }
}
