package coriandersill.relay.internal;

import coriandersill.catalog.EngineProperties;
import coriandersill.relay.CallRequest;
import coriandersill.scheduling.DispatchOrder;
import coriandersill.scheduling.MostUrgentBacklog;
import coriandersill.scheduling.QueueBounds;
import coriandersill.scheduling.StartTimes;
import coriandersill.scheduling.WaitingQueue;
import coriandersill.scheduling.WaitingRequest;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** The generations of one service that wait or are open; guarded by the lock of {@link GenerationDispatch}. */
final class ServiceQueue {
    /** At 29 entries and a demand of twice the capacity, an entry has up to 150 requests waiting. */
    private static final int MAX_WAITING = 1_024;

    /** Less than half of the memory for bodies, which plain calls need too. */
    private static final long MAX_WAITING_BYTES = 16L << 20;

    /** Fewer leave slots unused while reports are old; more are lost with the engines that leave. */
    private static final int MAX_SENT_WITHOUT_ROOM = 3;

    private final WaitingQueue waiting = new WaitingQueue(
            DispatchOrder.standard(),
            new QueueBounds(MAX_WAITING, MAX_WAITING_BYTES),
            new MostUrgentBacklog(MAX_SENT_WITHOUT_ROOM));
    private final StartTimes startTimes = new StartTimes();
    private final Map<WaitingCall, Long> numbers = new HashMap<>();
    private final Map<Long, WaitingCall> calls = new HashMap<>();
    private long nextNumber;

    WaitingQueue waiting() {
        return waiting;
    }

    StartTimes startTimes() {
        return startTimes;
    }

    void add(long number, WaitingCall call) {
        numbers.put(call, number);
        calls.put(number, call);
    }

    void remove(long number, WaitingCall call) {
        numbers.remove(call);
        calls.remove(number);
    }

    /** Returns the number of a call; null if it is unknown. */
    Long numberOf(WaitingCall call) {
        return numbers.get(call);
    }

    /** Returns the call with a number; null if it is unknown. */
    WaitingCall callOf(long number) {
        return calls.get(number);
    }

    /** Returns a new request for a call. */
    WaitingRequest request(WaitingCall call, long nowNanos) {
        CallPlan plan = call.plan();
        long arrivedNanos = nowNanos - call.elapsedNanos();
        Duration target = plan.route().targetLatency();
        Duration latestStart = target.minus(startTimes.expected(plan.route().name(), target));
        Duration lastStart =
                plan.timeLimit().minus(startTimes.shortest(plan.route().name(), target));
        long memoryTokens =
                plan.service().engine().map(EngineProperties::memoryTokens).orElse(0);
        long tokens = Math.max(1, Math.min(plan.predictedTokens(), memoryTokens));
        long outputTokens = plan.request()
                .prompt()
                .map(CallRequest.Prompt::expectedOutputTokens)
                .orElse(0);
        return new WaitingRequest(
                nextNumber++,
                plan.workspace().map(Object::toString).orElse(""),
                plan.route().name(),
                plan.urgency().orElse(0),
                arrivedNanos,
                arrivedNanos + latestStart.toNanos(),
                arrivedNanos + lastStart.toNanos(),
                tokens,
                (double) tokens * Math.max(1, outputTokens),
                call.memoryBytes());
    }
}
