package coriandersill.routing;

import coriandersill.core.InstanceId;
import coriandersill.core.MonotonicClock;
import coriandersill.core.ServiceName;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * The engines that decode more slowly than their peers, by the pace of running streams, as observed by all entries.
 *
 * <pre>{@code
 * window.record(nowNanos).ifPresent(pace -> slowEngines.recordPace(service, engine, pace));
 * List<Upstream> candidates = slowEngines.withoutSlow(upstreams, Upstream::instance);
 * }</pre>
 *
 * <p>Many entries before many engines rarely call the same engine, so their calls are too few to judge it by; but each
 * stream gives an event every few tokens. An engine is slow if two paces in a short time are far above the usual one,
 * the median of the paces that this entry has seen at all engines of the service. What one entry observes it publishes,
 * and all avoid the engine until the report expires; streams that still run there renew or end it. If more than half of
 * the candidates are slow, none is avoided. Thread-safe: guarded by a lock of rank {@link LockRank#ROUTING}.
 */
public final class SlowEngines {
    /**
     * An engine is slow if it takes this many times as long as usual for an event; a prefill and a full batch take
     * less.
     */
    private static final double MIN_SLOWDOWN = 2.6;

    /** An engine is no longer slow if it takes at most this many times as long as usual. */
    private static final double MAX_USUAL_SLOWDOWN = 1.6;

    /** The number of paces of an engine that must be slow. */
    private static final int MIN_SLOW_PACES = 2;

    /** The time within which they must be observed. */
    private static final Duration EVIDENCE_TIME = Duration.ofMillis(1_500);

    private static final Duration VALIDITY = Duration.ofSeconds(4);

    /** A report is renewed if less than this is left of its validity. */
    private static final Duration RENEWAL_TIME = Duration.ofSeconds(2);

    /** The number of paces of a service that are kept; at least {@link #MIN_PACES} must be known to judge an engine. */
    private static final int KEPT_PACES = 128;

    private static final int MIN_PACES = 24;

    private final RankedLock lock = RankedLock.of(LockRank.ROUTING);
    private final InstanceId self;
    private final MonotonicClock clock;
    private final SlowEngineExchange exchange;
    private final Map<ServiceName, PaceHistory> histories = new HashMap<>();
    private final Map<InstanceId, Evidence> evidence = new HashMap<>();
    private final Map<InstanceId, Long> slowUntilNanos = new HashMap<>();

    /** The latest paces of a service; the oldest is overwritten. */
    private static final class PaceHistory {
        private final long[] pacesNanos = new long[KEPT_PACES];
        private int count;
    }

    /** Consecutive slow paces of an engine that this entry has observed. */
    private record Evidence(int slowPaces, long sinceNanos) {}

    private SlowEngines(InstanceId self, MonotonicClock clock, SlowEngineExchange exchange) {
        this.self = Objects.requireNonNull(self, "self");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.exchange = Objects.requireNonNull(exchange, "exchange");
    }

    /** Returns a table of the entry {@code self} without slow engines. */
    public static SlowEngines create(InstanceId self, MonotonicClock clock, SlowEngineExchange exchange) {
        return new SlowEngines(self, clock, exchange);
    }

    /** Records the pace of one stream at an engine, in nanoseconds an event. */
    public void recordPace(ServiceName service, InstanceId engine, long paceNanos) {
        Optional<Runnable> announcement = lock.with(() -> {
            PaceHistory history = histories.computeIfAbsent(service, name -> new PaceHistory());
            double slowdown = slowdown(history, paceNanos);
            history.pacesNanos[history.count % KEPT_PACES] = paceNanos;
            history.count++;
            return judge(engine, slowdown);
        });
        announcement.ifPresent(Runnable::run);
    }

    /** Returns how many times as long as usual an event takes; 1 while too few paces are known. */
    private static double slowdown(PaceHistory history, long paceNanos) {
        if (history.count < MIN_PACES) {
            return 1;
        }
        long[] known = Arrays.copyOf(history.pacesNanos, Math.min(history.count, KEPT_PACES));
        Arrays.sort(known);
        return paceNanos / (double) Math.max(1, known[known.length / 2]);
    }

    private Optional<Runnable> judge(InstanceId engine, double slowdown) {
        long now = clock.nanos();
        if (slowdown < MIN_SLOWDOWN) {
            evidence.remove(engine);
            if (slowdown <= MAX_USUAL_SLOWDOWN && slowUntilNanos.remove(engine) != null) {
                return Optional.of(() -> exchange.publishEnd(engine));
            }
            return Optional.empty();
        }
        Evidence known = evidence.get(engine);
        boolean isRecent = known != null && now - known.sinceNanos() < EVIDENCE_TIME.toNanos();
        Evidence updated = isRecent ? new Evidence(known.slowPaces() + 1, known.sinceNanos()) : new Evidence(1, now);
        evidence.put(engine, updated);
        Long until = slowUntilNanos.get(engine);
        boolean isKnown = until != null && until - now > RENEWAL_TIME.toNanos();
        if (updated.slowPaces() < MIN_SLOW_PACES || isKnown) {
            return Optional.empty();
        }
        slowUntilNanos.put(engine, now + VALIDITY.toNanos());
        SlowEngineReport report = new SlowEngineReport(engine, self, slowdown, VALIDITY);
        return Optional.of(() -> exchange.publish(report));
    }

    /** Applies what another entry has observed; a validity above the usual one is cut off. */
    public void apply(SlowEngineReport report) {
        Duration validity = report.validity().compareTo(VALIDITY) < 0 ? report.validity() : VALIDITY;
        lock.run(() -> slowUntilNanos.merge(report.engine(), clock.nanos() + validity.toNanos(), Math::max));
    }

    /** Records that another entry has observed the usual pace at an engine. */
    public void applyEnd(InstanceId engine) {
        lock.run(() -> slowUntilNanos.remove(engine));
    }

    /** Returns whether an engine is slow. */
    public boolean isSlow(InstanceId engine) {
        return lock.with(() -> isSlow(engine, clock.nanos()));
    }

    private boolean isSlow(InstanceId engine, long now) {
        Long until = slowUntilNanos.get(engine);
        return until != null && now - until < 0;
    }

    /** Returns the candidates that are not slow, or all of them if more than half are. */
    public <T> List<T> withoutSlow(List<T> candidates, Function<T, InstanceId> instance) {
        List<T> usual = lock.with(() -> {
            long now = clock.nanos();
            return candidates.stream()
                    .filter(candidate -> !isSlow(instance.apply(candidate), now))
                    .toList();
        });
        return usual.size() * 2 < candidates.size() ? candidates : usual;
    }

    /** Returns the number of engines that are slow. */
    public int count() {
        return lock.with(() -> {
            long now = clock.nanos();
            return (int) slowUntilNanos.values().stream()
                    .filter(until -> now - until < 0)
                    .count();
        });
    }

    /** Discards what is known of an engine that has left. */
    public void removeInstance(InstanceId engine) {
        lock.run(() -> {
            evidence.remove(engine);
            slowUntilNanos.remove(engine);
        });
    }
}
