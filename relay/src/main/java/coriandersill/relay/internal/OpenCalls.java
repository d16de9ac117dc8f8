package coriandersill.relay.internal;

import coriandersill.core.MonotonicClock;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import coriandersill.relay.OpenWork;
import coriandersill.routing.RecentDurations;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** The calls that have started and not ended; guarded by a lock of rank {@link LockRank#STREAMS}. */
final class OpenCalls {
    private final RankedLock lock = RankedLock.of(LockRank.STREAMS);
    private final Set<AbstractCall> calls = new HashSet<>();
    private final RecentDurations recentDurations;

    OpenCalls(MonotonicClock clock) {
        this.recentDurations = RecentDurations.create(clock);
    }

    void add(AbstractCall call) {
        lock.run(() -> calls.add(call));
    }

    void remove(AbstractCall call) {
        lock.run(() -> calls.remove(call));
        recentDurations.record(call.plan.route().name(), Duration.ofNanos(call.elapsedNanos()));
    }

    List<AbstractCall> all() {
        return lock.with(() -> List.copyOf(calls));
    }

    /** Returns the open calls of each service. */
    Map<ServiceName, OpenWork> work() {
        Map<ServiceName, OpenWork> work = new HashMap<>();
        for (AbstractCall call : all()) {
            long tokens = call.plan.service().engine().isPresent() ? call.plan.predictedTokens() : 0;
            work.merge(call.plan.service().name(), new OpenWork(1, tokens), OpenWork::plus);
        }
        return work;
    }

    /** Returns the longest time that a call of {@code route} took lately or has taken so far; empty without any. */
    Optional<Duration> slowest(RouteName route) {
        Optional<Duration> ended = recentDurations.slowest(route);
        Stream<Duration> open = all().stream()
                .filter(call -> call.plan.route().name().equals(route))
                .map(call -> Duration.ofNanos(call.elapsedNanos()));
        return Stream.concat(ended.stream(), open).max(Duration::compareTo);
    }
}
