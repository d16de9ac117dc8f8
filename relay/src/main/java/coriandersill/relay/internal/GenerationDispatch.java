package coriandersill.relay.internal;

import coriandersill.catalog.EngineProperties;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.MonotonicClock;
import coriandersill.core.ServiceName;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import coriandersill.scheduling.Refusal;
import coriandersill.scheduling.WaitingQueue;
import coriandersill.scheduling.WaitingRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

/**
 * Holds generations of engine services whose configuration states an urgency until an engine is expected to have room;
 * dispatches all other calls at once. The tables are guarded by a lock of rank {@link LockRank#ADMISSION}; calls are
 * dispatched and refused without it.
 */
final class GenerationDispatch implements DispatchQueue {
    /** Callers wait as told for up to their time left divided by this. */
    private static final int RETRY_AFTER_DIVISOR = 3;

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);

    /** Told times are longer by a random part of up to this fraction, so that callers do not return at once. */
    private static final double RETRY_AFTER_SPREAD = 0.25;

    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final RelayMetrics metrics;
    private final EventLog events;
    private final DispatchQueue immediate = new ImmediateDispatch();
    private final RankedLock lock = RankedLock.of(LockRank.ADMISSION);
    private final Map<ServiceName, ServiceQueue> queues = new HashMap<>();
    private volatile Runnable onWaiting = () -> {};

    GenerationDispatch(MonotonicClock clock, RandomGenerator random, RelayMetrics metrics, EventLog events) {
        this.clock = clock;
        this.random = random;
        this.metrics = metrics;
        this.events = events;
    }

    /** Sets the action that runs after a request was added to those that wait, or put back. */
    void onWaiting(Runnable action) {
        onWaiting = action;
    }

    /** Returns whether requests wait for engines of any service. */
    boolean hasWaiting() {
        return lock.with(() -> queues.values().stream()
                .anyMatch(queue -> !queue.waiting().waiting().isEmpty()));
    }

    @Override
    public boolean requiresRoom(CallPlan plan) {
        int tokens = plan.predictedTokens();
        // A request that is predicted not to fit into an empty engine would wait for nothing.
        return plan.urgency().isPresent()
                && plan.service()
                        .engine()
                        .map(EngineProperties::memoryTokens)
                        .filter(memoryTokens -> tokens > 0 && tokens <= memoryTokens)
                        .isPresent();
    }

    @Override
    public void add(WaitingCall call) {
        if (!requiresRoom(call.plan())) {
            immediate.add(call);
            return;
        }
        List<Runnable> actions = new ArrayList<>();
        lock.run(() -> {
            ServiceQueue queue = queues.computeIfAbsent(call.plan().service().name(), unused -> new ServiceQueue());
            long nowNanos = clock.nanos();
            WaitingRequest request = queue.request(call, nowNanos);
            Optional<Refusal> refusal = queue.waiting().offer(request, nowNanos);
            if (refusal.isPresent()) {
                actions.add(refusal(queue, call, request, refusal.get(), nowNanos));
            } else {
                queue.add(request.number(), call);
            }
            addDispatches(queue, nowNanos, actions);
        });
        actions.forEach(Runnable::run);
        onWaiting.run();
    }

    @Override
    public boolean returnWithoutRoom(WaitingCall call) {
        List<Runnable> actions = new ArrayList<>();
        boolean waits = lock.with(() -> withQueue(call, (queue, number) -> {
            long nowNanos = clock.nanos();
            boolean again = queue.waiting().returned(number, nowNanos) == WaitingQueue.Return.WAITS;
            if (!again) {
                actions.add(() -> recordSentWithoutRoom(call));
            }
            addDispatches(queue, nowNanos, actions);
            return again;
        }));
        actions.forEach(Runnable::run);
        onWaiting.run();
        return waits;
    }

    @Override
    public void sent(WaitingCall call) {
        List<Runnable> actions = new ArrayList<>();
        lock.run(() -> withQueue(call, (queue, number) -> {
            long nowNanos = clock.nanos();
            queue.waiting().sent(number, nowNanos);
            metrics.recordWait(call.elapsedNanos());
            addDispatches(queue, nowNanos, actions);
            return true;
        }));
        actions.forEach(Runnable::run);
    }

    @Override
    public void begun(WaitingCall call, Duration sinceSent) {
        lock.run(() -> withQueue(call, (queue, number) -> {
            queue.startTimes().record(call.plan().route().name(), sinceSent.toNanos());
            queue.waiting().begun(number);
            return true;
        }));
    }

    @Override
    public void remove(WaitingCall call) {
        List<Runnable> actions = new ArrayList<>();
        lock.run(() -> withQueue(call, (queue, number) -> {
            long nowNanos = clock.nanos();
            queue.remove(number, call);
            queue.waiting().remove(number, nowNanos);
            addDispatches(queue, nowNanos, actions);
            return true;
        }));
        actions.forEach(Runnable::run);
    }

    @Override
    public void roomReleased(ServiceName service) {
        List<Runnable> actions = new ArrayList<>();
        lock.run(() -> {
            ServiceQueue queue = queues.get(service);
            if (queue != null) {
                queue.waiting().roomReleased();
                addDispatches(queue, clock.nanos(), actions);
            }
        });
        actions.forEach(Runnable::run);
    }

    /** Dispatches and refuses the requests for which it is time; called periodically. */
    void runDue() {
        List<Runnable> actions = new ArrayList<>();
        lock.run(() -> queues.values().forEach(queue -> addDispatches(queue, clock.nanos(), actions)));
        actions.forEach(Runnable::run);
    }

    /** Returns the sum of a value over the queues of all services. */
    long sum(ToLongFunction<WaitingQueue> value) {
        return lock.with(() -> queues.values().stream()
                .mapToLong(queue -> value.applyAsLong(queue.waiting()))
                .sum());
    }

    /** Returns the requests that wait for engines of any service. */
    List<WaitingRequest> waiting() {
        return lock.with(() -> queues.values().stream()
                .flatMap(queue -> queue.waiting().waiting().stream())
                .toList());
    }

    private void recordSentWithoutRoom(WaitingCall call) {
        metrics.increment("relay.waiting.sent_without_room");
        events.record(
                EventCode.GENERATION_SENT_WITHOUT_ROOM,
                Map.of(
                        "call",
                        call.plan().request().id(),
                        "waited_ms",
                        Duration.ofNanos(call.elapsedNanos()).toMillis()));
    }

    /** A step with the queue of a call and the call's number in it; its result is false for unknown calls. */
    @FunctionalInterface
    private interface Step {
        boolean apply(ServiceQueue queue, long number);
    }

    private boolean withQueue(WaitingCall call, Step step) {
        ServiceQueue queue = queues.get(call.plan().service().name());
        Long number = queue == null ? null : queue.numberOf(call);
        return number != null && step.apply(queue, number);
    }

    private void addDispatches(ServiceQueue queue, long nowNanos, List<Runnable> actions) {
        for (WaitingQueue.Refused refused : queue.waiting().expire(nowNanos)) {
            WaitingCall call = queue.callOf(refused.request().number());
            if (call != null) {
                actions.add(refusal(queue, call, refused.request(), refused.refusal(), nowNanos));
            }
        }
        for (WaitingRequest request : queue.waiting().next(nowNanos)) {
            WaitingCall call = queue.callOf(request.number());
            if (call != null) {
                actions.add(call::dispatch);
            }
        }
    }

    /** Counts the promise to the caller of a refused call and returns the action that refuses the call. */
    private Runnable refusal(
            ServiceQueue queue, WaitingCall call, WaitingRequest request, Refusal refusal, long nowNanos) {
        Duration left = call.plan().timeLimit().minusNanos(call.elapsedNanos());
        double spread = 1 + RETRY_AFTER_SPREAD * random.nextDouble();
        Duration wait = max(refusal.expectedWait(), MIN_RETRY_AFTER);
        Duration told = min(Duration.ofNanos((long) (wait.toNanos() * spread)), left.dividedBy(RETRY_AFTER_DIVISOR));
        if (!told.isNegative()) {
            queue.waiting().promise(request, told, nowNanos);
        }
        String reason = refusal.reason().name().toLowerCase(Locale.ROOT);
        int waiting = queue.waiting().waiting().size();
        return () -> {
            metrics.increment("relay.waiting.refused." + reason);
            events.record(
                    EventCode.GENERATION_REFUSED,
                    Map.of(
                            "call", call.plan().request().id(),
                            "reason", reason,
                            "waiting", waiting,
                            "expected_wait_ms", refusal.expectedWait().toMillis(),
                            "retry_after_ms", told.toMillis()));
            call.refuse(CallFailure.of(ErrorKind.OVERLOADED, "no engine has room in time: " + reason)
                    .withRetryAfter(told));
        };
    }

    private static Duration min(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    private static Duration max(Duration first, Duration second) {
        return first.compareTo(second) > 0 ? first : second;
    }
}
