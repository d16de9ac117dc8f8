package coriandersill.experiment;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.core.ManualClock;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.routing.CallResult;
import coriandersill.routing.Candidate;
import coriandersill.routing.CandidateInfo;
import coriandersill.routing.RouteRequest;
import coriandersill.routing.Router;
import coriandersill.upstreams.Upstream;
import coriandersill.upstreams.UpstreamStatement;
import coriandersill.upstreams.UpstreamTable;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;

/**
 * Entries before the workers of one plain service, half of which ask for no requests while a burst of calls lasts: what
 * do callers get, and what reaches the workers that asked?
 *
 * <p>A worker processes a few calls at a time and keeps a few waiting; it refuses any others. From the start of the
 * burst on, half of the workers refuse every call for 1 to 5 s and say how much longer. Entries choose among the
 * upstreams in service of their {@link UpstreamTable} by their {@link Router}; a {@link QuietTimePolicy} decides what
 * becomes of the wish. A refused call is sent again to another worker, a few times at most.
 */
final class QuietTimeModel {
    private static final ServiceName SERVICE = ServiceName.of("ledger");
    private static final VersionName VERSION = VersionName.of("v1");
    private static final AvailabilityZone ZONE = AvailabilityZone.of("zone-a");
    private static final RouteRequest REQUEST =
            new RouteRequest(SERVICE, RouteName.of("books"), VERSION, ZONE, 0, 0, Set.of());

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int WORKERS = 12;
    private static final int SLOTS = 4;
    private static final int MAX_WAITING = 8;
    private static final int MAX_ATTEMPTS = 3;
    private static final double MEAN_WORK_SECONDS = 0.1;
    private static final Duration NETWORK_DELAY = Duration.ofMillis(1);
    private static final Duration DEADLINE = Duration.ofSeconds(2);

    /** The rate of calls outside the burst, as a fraction of what all workers can process. */
    private static final double USUAL_LOAD = 0.3;

    private static final double BURST_FACTOR = 2;
    private static final Duration BURST_FROM = Duration.ofSeconds(10);
    private static final Duration BURST_TO = Duration.ofSeconds(20);
    private static final Duration END = Duration.ofSeconds(25);
    private static final double MIN_QUIET_SECONDS = 1;
    private static final double MAX_QUIET_SECONDS = 5;

    /** How long after its refusal a worker may still get requests that an entry had sent. */
    private static final Duration LATE_AFTER = Duration.ofMillis(500);

    /** How long after its quiet time a worker is observed for calls that return together. */
    private static final Duration RETURN_TIME = Duration.ofSeconds(2);

    private static final Duration RETURN_WINDOW = Duration.ofMillis(50);

    private final QuietTimePolicy policy;

    /** The calls, which are the same for each policy. */
    private final SplittableRandom random;

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final EventQueue queue = new EventQueue(clock);
    private final List<Worker> workers = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final Histogram latencyMicros = new Histogram(3);
    private int offered;
    private int served;

    /**
     * The outcome of a run; calls are those that arrived during the burst.
     *
     * @param offered the number of calls
     * @param served the number of calls that were answered within their deadline
     * @param p99Millis the 99th percentile of the latency of those
     * @param arrivalsInQuietTimes the number of requests that reached workers during their quiet times
     * @param lateArrivals how many of them came half a second or more after a refusal of the worker to the same entry
     * @param maxLateArrivals the most of these from one entry at one worker
     * @param maxArrivalsAtReturn the most requests within 50 ms at one worker in the 2 s after its quiet time, as a
     *     mean over the workers
     */
    record Result(
            int offered,
            int served,
            double p99Millis,
            int arrivalsInQuietTimes,
            int lateArrivals,
            int maxLateArrivals,
            double maxArrivalsAtReturn) {}

    private QuietTimeModel(int entryCount, QuietTimePolicy policy, long seed) {
        this.policy = policy;
        this.random = new SplittableRandom(seed);
        for (int i = 0; i < WORKERS; i++) {
            double quietSeconds = MIN_QUIET_SECONDS + (MAX_QUIET_SECONDS - MIN_QUIET_SECONDS) * random.nextDouble();
            workers.add(new Worker(i, i % 2 == 0 ? quietSeconds : 0));
        }
        for (int i = 0; i < entryCount; i++) {
            entries.add(new Entry(random.split()));
        }
    }

    /** Runs the model. */
    static Result run(int entryCount, QuietTimePolicy policy, long seed) {
        QuietTimeModel model = new QuietTimeModel(entryCount, policy, seed);
        model.scheduleCall();
        while (model.queue.nowNanos() < END.toNanos() && model.queue.runNext()) {
            // Each event schedules the next ones.
        }
        return model.result();
    }

    private Result result() {
        List<Worker> asking = workers.stream().filter(Worker::asks).toList();
        return new Result(
                offered,
                served,
                latencyMicros.getValueAtPercentile(99) / 1e3,
                asking.stream().mapToInt(worker -> worker.arrivalsInQuietTime).sum(),
                asking.stream()
                        .flatMap(worker -> worker.lateArrivals.values().stream())
                        .mapToInt(Integer::intValue)
                        .sum(),
                asking.stream()
                        .flatMap(worker -> worker.lateArrivals.values().stream())
                        .mapToInt(Integer::intValue)
                        .max()
                        .orElse(0),
                asking.stream().mapToInt(Worker::maxArrivalsAtReturn).average().orElse(0));
    }

    private boolean isBurst() {
        return queue.nowNanos() >= BURST_FROM.toNanos() && queue.nowNanos() < BURST_TO.toNanos();
    }

    private void scheduleCall() {
        double usualRate = USUAL_LOAD * WORKERS * SLOTS / MEAN_WORK_SECONDS;
        double rate = isBurst() ? usualRate * BURST_FACTOR : usualRate;
        queue.schedule(exponentialNanos(1 / rate), () -> {
            Entry entry = entries.get(random.nextInt(entries.size()));
            Call call = new Call(entry, queue.nowNanos(), exponentialNanos(MEAN_WORK_SECONDS), isBurst());
            offered += call.measured ? 1 : 0;
            call.send();
            scheduleCall();
        });
    }

    private long exponentialNanos(double meanSeconds) {
        return (long) (-Math.log(1 - random.nextDouble()) * meanSeconds * 1e9);
    }

    /** An entry with its own view of the workers. */
    private final class Entry {
        private final UpstreamTable upstreams = UpstreamTable.create(clock, Duration.ofSeconds(1));
        private final SplittableRandom entryRandom;
        private final Router router;

        private Entry(SplittableRandom entryRandom) {
            this.entryRandom = entryRandom;
            this.router = Router.builder(clock, entryRandom).build();
            workers.forEach(worker -> upstreams.addOrUpdate(worker.upstream, Duration.ZERO));
        }

        private Optional<Candidate> select(RouteRequest request) {
            List<CandidateInfo> candidates = upstreams.inService(SERVICE).stream()
                    .map(upstream ->
                            new CandidateInfo(upstream.instance(), upstream.zone(), VERSION, upstream.slots(), 0))
                    .toList();
            return router.select(request, candidates);
        }

        private void refused(Worker worker, RouteRequest request, List<String> retryAfterValues) {
            UpstreamStatement statement = UpstreamStatement.of(SERVICE_UNAVAILABLE, List.of(), retryAfterValues);
            policy.obeyedTime(statement, entryRandom).ifPresent(time -> upstreams.markQuiet(worker.upstream, time));
            router.recordFinished(worker.upstream.instance(), request, CallResult.failed(ErrorKind.OVERLOADED));
        }
    }

    /** A call and its attempts. */
    private final class Call {
        private final Entry entry;
        private final long arrivedAtNanos;
        private final long workNanos;
        private final boolean measured;
        private RouteRequest request = REQUEST;
        private int attempts;

        private Call(Entry entry, long arrivedAtNanos, long workNanos, boolean measured) {
            this.entry = entry;
            this.arrivedAtNanos = arrivedAtNanos;
            this.workNanos = workNanos;
            this.measured = measured;
        }

        private boolean isExpired() {
            return queue.nowNanos() - arrivedAtNanos > DEADLINE.toNanos();
        }

        /** Sends the next attempt; the call ends without an answer if there is no further worker or attempt. */
        private void send() {
            if (attempts == MAX_ATTEMPTS || isExpired()) {
                return;
            }
            entry.select(request).ifPresent(candidate -> {
                attempts++;
                Worker worker = worker(candidate.instance());
                queue.schedule(NETWORK_DELAY.toNanos(), () -> worker.arrive(this));
            });
        }

        private void refused(Worker worker, List<String> retryAfterValues) {
            queue.schedule(NETWORK_DELAY.toNanos(), () -> {
                entry.refused(worker, request, retryAfterValues);
                request = request.excluding(worker.upstream.instance());
                send();
            });
        }

        private void done(Worker worker) {
            queue.schedule(NETWORK_DELAY.toNanos(), () -> {
                long nanos = queue.nowNanos() - arrivedAtNanos;
                CallResult result =
                        isExpired() ? CallResult.failed(ErrorKind.DEADLINE_EXCEEDED) : CallResult.ok(nanos, 0, 0);
                entry.router.recordFinished(worker.upstream.instance(), request, result);
                if (measured && !isExpired()) {
                    served++;
                    latencyMicros.recordValue(nanos / 1_000);
                }
            });
        }
    }

    private Worker worker(InstanceId instance) {
        return workers.stream()
                .filter(worker -> worker.upstream.instance().equals(instance))
                .findFirst()
                .orElseThrow();
    }

    /** A worker with its slots and its waiting calls. */
    private final class Worker {
        private final Upstream upstream;
        private final long quietUntilNanos;
        private final Deque<Call> waiting = new ArrayDeque<>();
        private final Map<Entry, Long> refusedAtNanos = new HashMap<>();
        private final Map<Entry, Integer> lateArrivals = new HashMap<>();
        private final Deque<Long> recentArrivalsNanos = new ArrayDeque<>();
        private int running;
        private int arrivalsInQuietTime;
        private int maxArrivalsAtReturn;

        private Worker(int index, double quietSeconds) {
            upstream = new Upstream(
                    InstanceId.of("worker-" + index), 1, SERVICE, "127.0.0.1", 80, ZONE, VERSION, SLOTS, false);
            quietUntilNanos = BURST_FROM.toNanos() + (long) (quietSeconds * 1e9);
        }

        private boolean asks() {
            return quietUntilNanos > BURST_FROM.toNanos();
        }

        private boolean isQuiet() {
            return queue.nowNanos() >= BURST_FROM.toNanos() && queue.nowNanos() < quietUntilNanos;
        }

        private int maxArrivalsAtReturn() {
            return maxArrivalsAtReturn;
        }

        private void arrive(Call call) {
            if (isQuiet()) {
                countArrivalInQuietTime(call.entry);
                call.refused(this, List.of(secondsLeft()));
                return;
            }
            countArrivalAtReturn();
            if (running < SLOTS) {
                start(call);
            } else if (waiting.size() < MAX_WAITING) {
                waiting.add(call);
            } else {
                call.refused(this, List.of());
            }
        }

        private String secondsLeft() {
            return String.format(Locale.ROOT, "%.3f", (quietUntilNanos - queue.nowNanos()) / 1e9);
        }

        private void countArrivalInQuietTime(Entry entry) {
            arrivalsInQuietTime++;
            long refusedAt = refusedAtNanos.computeIfAbsent(entry, unused -> queue.nowNanos());
            if (queue.nowNanos() - refusedAt >= LATE_AFTER.toNanos()) {
                lateArrivals.merge(entry, 1, Integer::sum);
            }
        }

        private void countArrivalAtReturn() {
            long now = queue.nowNanos();
            if (now - quietUntilNanos >= RETURN_TIME.toNanos()) {
                return;
            }
            recentArrivalsNanos.add(now);
            while (now - recentArrivalsNanos.getFirst() > RETURN_WINDOW.toNanos()) {
                recentArrivalsNanos.removeFirst();
            }
            if (now >= quietUntilNanos) {
                maxArrivalsAtReturn = Math.max(maxArrivalsAtReturn, recentArrivalsNanos.size());
            }
        }

        private void start(Call call) {
            running++;
            queue.schedule(call.workNanos, () -> {
                running--;
                call.done(this);
                startNext();
            });
        }

        /** Starts the first waiting call; callers of expired ones have cancelled them. */
        private void startNext() {
            Call next = waiting.poll();
            while (next != null && next.isExpired()) {
                next.done(this);
                next = waiting.poll();
            }
            if (next != null) {
                start(next);
            }
        }
    }
}
