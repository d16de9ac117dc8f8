package coriandersill.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Predicate;

/**
 * The generations of one service that wait at one entry.
 *
 * <p>Only the first request in the order looks for an engine. If it finds none with room, smaller ones may look in the
 * same round; then there is a pause, which ends early when room is released. Only a bounded number may pass a request
 * that finds no room, and after that it looks alone for a while.
 *
 * <p>A request that finds no room waits here, or at an engine without room if a {@link BacklogRule} permits it. Not
 * thread-safe; times are nanoseconds of a monotonic clock.
 */
public final class WaitingQueue {
    /** The pause after a round of looks in which no room was found; reports are about 500 ms old. */
    private static final Duration MIN_PAUSE = Duration.ofMillis(60);

    /** The pause is doubled after each round without room up to this value, which bounds the probes of engines. */
    private static final Duration MAX_PAUSE = Duration.ofMillis(480);

    /** How long a look for an engine takes at most, including the reports of engines. */
    private static final long LOOK_NANOS = Duration.ofMillis(50).toNanos();

    /** The number of requests that may be dispatched before one that finds no room. */
    private static final int MAX_PASSES = 8;

    /** How long a request that was passed too often looks alone. */
    private static final long LOOK_ALONE_NANOS = Duration.ofMillis(500).toNanos();

    /** The number of looks in vain after which the predicted length or the reports of the engines may be wrong. */
    private static final int MIN_LOOKS_IN_VAIN = 4;

    /** A wait is certain to be too long if a dispatch rate of this many times the current one does not suffice. */
    private static final double CERTAINTY_FACTOR = 4;

    private final DispatchOrder order;
    private final QueueBounds bounds;
    private final BacklogRule backlogRule;
    private final WorkspaceUsage usage = new WorkspaceUsage();
    private final DispatchRate rate = new DispatchRate();
    private final RanksInUse ranks = new RanksInUse();
    private final PromisedReturns promises = new PromisedReturns();
    private final Map<Long, Entry> waiting = new LinkedHashMap<>();

    /** The requests that were sent to engines without room and have not begun. */
    private final Map<Long, WaitingRequest> sentWithoutRoom = new HashMap<>();

    private long sinceOldest;
    private long nextRoundNanos;
    private boolean paused;
    private Duration pause = MIN_PAUSE;

    /** The size of the smallest request that found no room in this round. */
    private long tooLargeTokens = Long.MAX_VALUE;

    /** The number of the request that is passed, how often it was, and since when it looks alone. */
    private long passedNumber = -1;

    private int passes;
    private long lookAloneUntilNanos;
    private long promisesKept;
    private long promisesBroken;

    /** The state of a waiting request. */
    private static final class Entry {
        private final WaitingRequest request;
        private final boolean promised;
        private boolean looking;
        private boolean lookedAtLatestStart;
        private int looks;

        private Entry(WaitingRequest request, boolean promised) {
            this.request = request;
            this.promised = promised;
        }
    }

    /** What happens to a request that found no engine with room. */
    public enum Return {
        /** It waits again. */
        WAITS,
        /** It is sent to an engine without room. */
        SENT_WITHOUT_ROOM
    }

    /** A request that is refused after it has waited. */
    public record Refused(WaitingRequest request, Refusal refusal) {}

    /** Creates a queue; {@code backlogRule} decides which requests wait at engines without room. */
    public WaitingQueue(DispatchOrder order, QueueBounds bounds, BacklogRule backlogRule) {
        this.order = order;
        this.bounds = bounds;
        this.backlogRule = backlogRule;
    }

    /** Adds a request, or returns why it is refused. */
    public Optional<Refusal> offer(WaitingRequest offered, long nowNanos) {
        ranks.record(offered.urgency(), nowNanos);
        Optional<Long> firstArrival = promises.take(offered, nowNanos);
        WaitingRequest request =
                firstArrival.map(nanos -> arrivedAt(offered, nanos)).orElse(offered);
        Optional<Refusal> refusal = refusal(request, firstArrival.isPresent(), nowNanos);
        if (refusal.isPresent()) {
            return refusal;
        }
        waiting.put(request.number(), new Entry(request, firstArrival.isPresent()));
        rate.setBusy(true, nowNanos);
        return Optional.empty();
    }

    /**
     * Records that the caller of a refused request is told to return after a time; returns false if there are too many
     * promises to count this one.
     */
    public boolean promise(WaitingRequest refused, Duration returnIn, long nowNanos) {
        return promises.add(refused, returnIn, nowNanos);
    }

    /** Returns the requests that look for an engine from now on. */
    public List<WaitingRequest> next(long nowNanos) {
        if (paused && nowNanos - nextRoundNanos >= 0) {
            startRound();
        }
        List<WaitingRequest> found = new ArrayList<>();
        for (Entry entry : waiting.values()) {
            boolean due = entry.request.isOnTime(nowNanos)
                    && !entry.request.isOnTime(nowNanos + LOOK_NANOS)
                    && !entry.lookedAtLatestStart;
            if (!entry.looking && due) {
                // Its last look on time, which other requests must not delay.
                entry.looking = true;
                entry.lookedAtLatestStart = true;
                found.add(entry.request);
            }
        }
        boolean looking = waiting.values().stream().anyMatch(entry -> entry.looking);
        if (!looking && !paused) {
            head(nowNanos)
                    .ifPresentOrElse(
                            entry -> {
                                entry.looking = true;
                                found.add(entry.request);
                            },
                            () -> endRound(nowNanos));
        }
        return found;
    }

    /** Returns the first request in the order that may still look in this round. */
    private Optional<Entry> head(long nowNanos) {
        List<WaitingRequest> all =
                waiting.values().stream().map(entry -> entry.request).toList();
        if (all.isEmpty()) {
            return Optional.empty();
        }
        OrderContext context = new OrderContext(nowNanos, sinceOldest, usage);
        WaitingRequest first = order.first(all, context);
        if (first.number() != passedNumber) {
            passedNumber = first.number();
            passes = 0;
        }
        if (first.tokens() < tooLargeTokens) {
            return Optional.of(waiting.get(first.number()));
        }
        if (passes >= MAX_PASSES) {
            if (nowNanos - lookAloneUntilNanos < 0) {
                return Optional.empty();
            }
            passes = 0;
        }
        List<WaitingRequest> smaller = all.stream()
                .filter(request -> request.tokens() < tooLargeTokens)
                .toList();
        return smaller.isEmpty()
                ? Optional.empty()
                : Optional.of(waiting.get(order.first(smaller, context).number()));
    }

    /** Takes back a request that found no engine with room. */
    public Return returned(long number, long nowNanos) {
        Entry entry = waiting.get(number);
        if (entry == null || !entry.looking) {
            return Return.SENT_WITHOUT_ROOM;
        }
        entry.looks++;
        boolean looksInVain = entry.looks >= MIN_LOOKS_IN_VAIN
                && entry.request.hasWaitedHalf(nowNanos)
                && isOldest(entry.request, nowNanos);
        BacklogRule.Situation situation =
                new BacklogRule.Situation(entry.request, ranks.mostUrgent(), looksInVain, sentWithoutRoom.values());
        if (backlogRule.permits(situation)) {
            sentWithoutRoom.put(number, entry.request);
            leave(entry.request, nowNanos);
            return Return.SENT_WITHOUT_ROOM;
        }
        entry.looking = false;
        tooLargeTokens = Math.min(tooLargeTokens, entry.request.tokens());
        return Return.WAITS;
    }

    /** Records that a request found an engine with room. */
    public void sent(long number, long nowNanos) {
        Entry entry = waiting.get(number);
        if (entry == null) {
            return;
        }
        rate.record(entry.request.tokens(), nowNanos);
        pause = MIN_PAUSE;
        if (tooLargeTokens != Long.MAX_VALUE && number != passedNumber && ++passes == MAX_PASSES) {
            lookAloneUntilNanos = nowNanos + LOOK_ALONE_NANOS;
        }
        promisesKept += entry.promised ? 1 : 0;
        leave(entry.request, nowNanos);
    }

    /** Records that a request that was sent has begun. */
    public void begun(long number) {
        sentWithoutRoom.remove(number);
    }

    /** Removes a request that has ended; does nothing if it is unknown. */
    public void remove(long number, long nowNanos) {
        sentWithoutRoom.remove(number);
        if (waiting.remove(number) != null) {
            rate.setBusy(!waiting.isEmpty(), nowNanos);
        }
    }

    /** Records that room was released, so that the next look need not wait. */
    public void roomReleased() {
        pause = MIN_PAUSE;
        startRound();
    }

    /** Removes and returns the requests that can no longer be served before their deadlines. */
    public List<Refused> expire(long nowNanos) {
        List<Refused> expired = new ArrayList<>();
        for (Entry entry : List.copyOf(waiting.values())) {
            if (!entry.looking && !entry.request.isServable(nowNanos)) {
                promisesBroken += entry.promised ? 1 : 0;
                remove(entry.request.number(), nowNanos);
                Duration wait = expectedWait(entry.request, nowNanos).orElse(Duration.ZERO);
                expired.add(new Refused(entry.request, new Refusal(Refusal.Reason.NO_ROOM_IN_TIME, wait)));
            }
        }
        return expired;
    }

    /** Returns the requests that wait, in the order of their addition. */
    public List<WaitingRequest> waiting() {
        return waiting.values().stream().map(entry -> entry.request).toList();
    }

    /** Returns how many promised returns found an engine with room. */
    public long promisesKept() {
        return promisesKept;
    }

    /** Returns how many promised returns were refused again. */
    public long promisesBroken() {
        return promisesBroken;
    }

    /** Removes a request that is dispatched, and counts it for the order. */
    private void leave(WaitingRequest request, long nowNanos) {
        sinceOldest = isOldest(request, nowNanos) ? 0 : sinceOldest + 1;
        usage.add(request.workspace(), request.cost(), nowNanos);
        waiting.remove(request.number());
        rate.setBusy(!waiting.isEmpty(), nowNanos);
    }

    private boolean isOldest(WaitingRequest request, long nowNanos) {
        OrderContext context = new OrderContext(nowNanos, sinceOldest, usage);
        return new ByAge().first(waiting(), context).number() == request.number();
    }

    private void startRound() {
        paused = false;
        tooLargeTokens = Long.MAX_VALUE;
    }

    private void endRound(long nowNanos) {
        if (waiting.isEmpty()) {
            startRound();
            return;
        }
        paused = true;
        nextRoundNanos = nowNanos + pause.toNanos();
        Duration doubled = pause.multipliedBy(2);
        pause = doubled.compareTo(MAX_PAUSE) > 0 ? MAX_PAUSE : doubled;
    }

    private Optional<Refusal> refusal(WaitingRequest request, boolean promised, long nowNanos) {
        Duration expectedWait = expectedWait(request, nowNanos).orElse(Duration.ZERO);
        if (promised) {
            return Optional.empty();
        }
        if (!bounds.permit(occupancy(all -> true), occupancy(of(request.workspace())), request.memoryBytes())) {
            return Optional.of(new Refusal(Refusal.Reason.QUEUE_FULL, expectedWait));
        }
        long leastWaitNanos = (long) (expectedWait.toNanos() / CERTAINTY_FACTOR);
        return request.isServable(nowNanos + leastWaitNanos)
                ? Optional.empty()
                : Optional.of(new Refusal(Refusal.Reason.WAIT_TOO_LONG, expectedWait));
    }

    /** Returns how long a request waits if the dispatch rate stays as it is; empty if the rate is unknown. */
    private Optional<Duration> expectedWait(WaitingRequest request, long nowNanos) {
        OptionalDouble tokensPerNano = rate.tokensPerNano(nowNanos);
        if (tokensPerNano.isEmpty()) {
            return Optional.empty();
        }
        boolean onTime = request.isOnTime(nowNanos);
        long tokensAhead = promises.tokens(nowNanos)
                + waiting().stream()
                        .filter(other -> other.number() != request.number())
                        .filter(other -> !onTime || (other.isOnTime(nowNanos) && other.urgency() <= request.urgency()))
                        .mapToLong(WaitingRequest::tokens)
                        .sum();
        return Optional.of(Duration.ofNanos((long) (tokensAhead / tokensPerNano.getAsDouble())));
    }

    private static Predicate<WaitingRequest> of(String workspace) {
        return request -> request.workspace().equals(workspace);
    }

    private QueueBounds.Occupancy occupancy(Predicate<WaitingRequest> counted) {
        List<WaitingRequest> requests = waiting().stream().filter(counted).toList();
        return new QueueBounds.Occupancy(
                requests.size(),
                requests.stream().mapToLong(WaitingRequest::memoryBytes).sum());
    }

    private static WaitingRequest arrivedAt(WaitingRequest request, long arrivedNanos) {
        return new WaitingRequest(
                request.number(),
                request.workspace(),
                request.route(),
                request.urgency(),
                arrivedNanos,
                request.latestStartNanos(),
                request.lastStartNanos(),
                request.tokens(),
                request.cost(),
                request.memoryBytes());
    }
}
