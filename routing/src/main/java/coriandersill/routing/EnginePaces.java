package coriandersill.routing;

import coriandersill.core.InstanceId;
import coriandersill.core.MonotonicClock;
import coriandersill.core.ServiceName;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * The lasting paces of upstreams by incarnation: what this entry observes in its own calls, what other entries observe,
 * and what the upstreams state.
 *
 * <pre>{@code
 * paces.begin(service, engine, startedAtMillis);
 * paces.recordStep(engine, startedAtMillis, step);
 * PaceSnapshot known = paces.snapshot(service);
 * }</pre>
 *
 * <p>Own observations go before those of others, and these before statements. A pace is relative to the median of its
 * service; differences count only once enough upstreams are known and one of them differs by more than its own spread
 * explains. Thread-safe: guarded by a lock of rank {@link LockRank#ROUTING}.
 */
public final class EnginePaces {
    /** Six seconds of observations: what passes within a second or two is not taken for a lasting pace. */
    private static final int MIN_INTERVALS = 12;

    /** A service counts as uneven only by an upstream that was observed for two seconds more. */
    private static final int MIN_DIFFERING_INTERVALS = 16;

    /** The number of upstreams of a service whose median is taken for the usual pace. */
    private static final int MIN_UPSTREAMS = 3;

    /** The part of a service's upstreams that must be known, so that their median is near that of all. */
    private static final double MIN_KNOWN_FRACTION = 0.125;

    /** The number of known upstreams that suffices however many there are. */
    private static final int SUFFICIENT_UPSTREAMS = 4;

    /** A pace within this factor of the usual one is the usual one: load and prompts differ by as much. */
    private static final double MIN_DIFFERENCE = 1.4;

    /** The slower one of two upstreams is slower by this factor also when it has the least to do. */
    private static final double MIN_FASTEST = 1.2;

    /** A difference must exceed this many standard errors. */
    private static final double MIN_ERRORS = 3;

    private static final double MIN_RELATIVE = 0.25;
    private static final double MAX_RELATIVE = 4;

    /** The time without confirmation from which the observation of another entry is ignored. */
    private static final Duration REPORT_LIFETIME = Duration.ofSeconds(25);

    private static final Duration MIN_REPORT_INTERVAL = Duration.ofSeconds(2);

    /** An unchanged pace is confirmed at this interval, so that two confirmations may be lost. */
    private static final Duration CONFIRMATION_INTERVAL = Duration.ofSeconds(8);

    /** Entries that observe the same engine wait for a random part of this, and not at all if another was faster. */
    private static final Duration MAX_REPORT_DELAY = Duration.ofMillis(1_500);

    private static final double REPORTED_CHANGE = 1.2;

    /** A statement that differs from the own observations by more than this factor is not believed. */
    private static final double MAX_STATED_ERROR = 1.6;

    private final RankedLock lock = RankedLock.of(LockRank.ROUTING);
    private final InstanceId self;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final EnginePaceExchange exchange;
    private final Map<InstanceId, State> states = new HashMap<>();
    private final Map<ServiceName, StepModel> models = new HashMap<>();

    /** What is known of one incarnation. */
    private static final class State {
        private final ServiceName service;
        private final long startedAtMillis;
        private final PaceHistory observed = new PaceHistory();
        private final PaceHistory stated = new PaceHistory();
        private boolean statementsIgnored;
        private double reportedNanos;
        private long reportedAtNanos;
        private boolean ownReport;
        private long reportDueAtNanos;
        private boolean reportDue;

        private State(ServiceName service, long startedAtMillis) {
            this.service = service;
            this.startedAtMillis = startedAtMillis;
        }
    }

    /**
     * An observation of a stream.
     *
     * @param eventNanos the time between events, by {@link PaceWindow}
     * @param longestNanos the longest of the latest times between events
     * @param batch the number of generations at the engine
     * @param tokensPerEvent the number of decoding steps of an event
     */
    public record Step(long eventNanos, long longestNanos, int batch, int tokensPerEvent) {}

    private record Known(InstanceId instance, double time, double fastest, double relativeError, EnginePace evidence) {}

    private EnginePaces(InstanceId self, MonotonicClock clock, RandomGenerator random, EnginePaceExchange exchange) {
        this.self = Objects.requireNonNull(self, "self");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
        this.exchange = Objects.requireNonNull(exchange, "exchange");
    }

    /** Returns a table of the entry {@code self} without knowledge. */
    public static EnginePaces create(
            InstanceId self, MonotonicClock clock, RandomGenerator random, EnginePaceExchange exchange) {
        return new EnginePaces(self, clock, random, exchange);
    }

    /** Records which incarnation of an upstream runs; what was known of another one is discarded. */
    public void begin(ServiceName service, InstanceId instance, long startedAtMillis) {
        lock.run(() -> {
            State state = states.get(instance);
            if (state == null || state.startedAtMillis != startedAtMillis || !state.service.equals(service)) {
                states.put(instance, new State(service, startedAtMillis));
            }
        });
    }

    /** Records the pace of one of this entry's streams; ignored if the incarnation does not run (any more). */
    public void recordStep(InstanceId engine, long startedAtMillis, Step step) {
        if (step.eventNanos() <= 0) {
            return;
        }
        Optional<EnginePaceReport> report = lock.with(() -> {
            State state = running(engine, startedAtMillis);
            if (state == null) {
                return Optional.empty();
            }
            long now = clock.nanos();
            StepModel model = models.computeIfAbsent(state.service, name -> new StepModel());
            double stepNanos = step.eventNanos() / (double) Math.max(1, step.tokensPerEvent());
            double usualStepNanos = model.atMeanBatch(stepNanos, step.batch());
            PaceHistory.Estimate known = state.observed.estimate(now);
            if (isLasting(known)) {
                model.record(
                        step.batch(),
                        stepNanos / known.time(),
                        step.longestNanos() / (double) step.eventNanos() * usualStepNanos / known.time());
            }
            return state.observed.record(now, usualStepNanos) ? dueReport(engine, state, now) : Optional.empty();
        });
        report.ifPresent(exchange::publish);
    }

    /** Records how long a plain upstream took for a call; ignored if the incarnation does not run (any more). */
    public void recordServiceTime(InstanceId upstream, long startedAtMillis, long nanos) {
        if (nanos > 0) {
            lock.run(() -> {
                State state = running(upstream, startedAtMillis);
                if (state != null) {
                    state.observed.record(clock.nanos(), (double) nanos);
                }
            });
        }
    }

    /**
     * Records the pace that an upstream states, in percent of the usual time.
     *
     * @return whether the statement contradicts what this entry observes, and did not before
     */
    public boolean recordStated(InstanceId upstream, long startedAtMillis, int percent) {
        if (percent < 1) {
            return false;
        }
        return lock.with(() -> {
            State state = running(upstream, startedAtMillis);
            if (state == null || state.statementsIgnored) {
                return false;
            }
            long now = clock.nanos();
            state.stated.record(now, percent);
            state.statementsIgnored = contradictsObservations(state, now);
            return state.statementsIgnored;
        });
    }

    private boolean contradictsObservations(State state, long now) {
        PaceHistory.Estimate stated = state.stated.estimate(now);
        PaceHistory.Estimate observed = state.observed.estimate(now);
        double usualStated = usual(statedOf(state.service, now));
        double usualObserved = usual(observedOf(state.service, now));
        if (!isLasting(stated) || !isLasting(observed) || usualStated <= 0 || usualObserved <= 0) {
            return false;
        }
        double error = stated.time() / usualStated / (observed.time() / usualObserved);
        return error > MAX_STATED_ERROR || error < 1 / MAX_STATED_ERROR;
    }

    /** Applies what another entry has observed; ignored if the incarnation does not run (any more). */
    public void apply(EnginePaceReport report) {
        lock.run(() -> {
            State state = running(report.engine(), report.startedAtMillis());
            if (state != null && !report.reporter().equals(self)) {
                state.reportedNanos = report.stepNanos();
                state.reportedAtNanos = clock.nanos();
                state.ownReport = false;
                state.reportDue = false;
            }
        });
    }

    /** Returns what is known of the upstreams of a service. */
    public PaceSnapshot snapshot(ServiceName service) {
        return lock.with(() -> snapshot(service, clock.nanos()));
    }

    private PaceSnapshot snapshot(ServiceName service, long now) {
        List<Known> observed = observedOf(service, now);
        List<Known> stated = statedOf(service, now);
        double usualObserved = usual(observed);
        double usualStated = usual(stated);
        Map<InstanceId, EnginePace> paces = new HashMap<>();
        boolean statedDiffer = addRelative(stated, usualStated, paces);
        boolean observedDiffer = addRelative(observed, usualObserved, paces);
        boolean uneven = statedDiffer || observedDiffer;
        StepModel model = models.get(service);
        return new PaceSnapshot(
                uneven,
                model == null ? 0 : usualObserved / (1 + model.batchGrowth() * model.meanBatch()),
                model == null ? 0 : model.batchGrowth(),
                model == null ? 1 : model.meanRatio(),
                model == null ? 1 : model.pauseRatio(),
                paces);
    }

    /** Adds the relative paces if the usual one is known, and returns whether one of them differs from it. */
    private static boolean addRelative(List<Known> known, double usual, Map<InstanceId, EnginePace> paces) {
        if (usual <= 0) {
            return false;
        }
        boolean differ = false;
        double usualFastest = median(known, Known::fastest);
        for (Known one : known) {
            double ratio = one.time() / usual;
            double relative = Math.max(MIN_RELATIVE, Math.min(MAX_RELATIVE, ratio));
            EnginePace evidence = one.evidence();
            paces.put(
                    one.instance(),
                    new EnginePace(relative, evidence.spread() / usual, evidence.age(), evidence.samples()));
            boolean isSlow = relative >= MIN_DIFFERENCE && one.fastest() >= usual * MIN_FASTEST;
            boolean isFast = relative <= 1 / MIN_DIFFERENCE && usualFastest >= one.time() * MIN_FASTEST;
            boolean isFar = isSlow || isFast;
            differ |= isFar
                    && evidence.samples() >= MIN_DIFFERING_INTERVALS
                    && Math.abs(ratio - 1) > MIN_ERRORS * one.relativeError() * ratio;
        }
        return differ;
    }

    /** Returns the median; 0 if too few are known. */
    private static double usual(List<Known> known) {
        return known.isEmpty() ? 0 : median(known, Known::time);
    }

    private static double median(List<Known> known, ToDoubleFunction<Known> field) {
        double[] sorted = known.stream().mapToDouble(field).sorted().toArray();
        return sorted[(sorted.length - 1) / 2];
    }

    private List<Known> observedOf(ServiceName service, long now) {
        List<Known> known = new ArrayList<>();
        int count = 0;
        for (Map.Entry<InstanceId, State> entry : states.entrySet()) {
            State state = entry.getValue();
            if (state.service.equals(service)) {
                count++;
                observed(entry.getKey(), state, now).ifPresent(known::add);
            }
        }
        return known.size() < minKnown(count) ? List.of() : known;
    }

    private static Optional<Known> observed(InstanceId instance, State state, long now) {
        PaceHistory.Estimate own = state.observed.estimate(now);
        if (isLasting(own)) {
            return Optional.of(known(instance, own));
        }
        long reportAgeNanos = now - state.reportedAtNanos;
        if (state.reportedNanos > 0 && !state.ownReport && reportAgeNanos < REPORT_LIFETIME.toNanos()) {
            EnginePace evidence = new EnginePace(1, 0, Duration.ofNanos(reportAgeNanos), MIN_DIFFERING_INTERVALS);
            return Optional.of(new Known(instance, state.reportedNanos, state.reportedNanos, 0, evidence));
        }
        return Optional.empty();
    }

    private List<Known> statedOf(ServiceName service, long now) {
        List<Known> known = new ArrayList<>();
        int count = 0;
        for (Map.Entry<InstanceId, State> entry : states.entrySet()) {
            State state = entry.getValue();
            if (state.service.equals(service)) {
                count++;
                PaceHistory.Estimate stated = state.stated.estimate(now);
                if (isLasting(stated) && !state.statementsIgnored) {
                    known.add(known(entry.getKey(), stated));
                }
            }
        }
        return known.size() < minKnown(count) ? List.of() : known;
    }

    private static Known known(InstanceId instance, PaceHistory.Estimate estimate) {
        EnginePace evidence =
                new EnginePace(1, estimate.deviation(), Duration.ofNanos(estimate.ageNanos()), estimate.intervals());
        return new Known(instance, estimate.time(), estimate.fastest(), estimate.relativeError(), evidence);
    }

    private static int minKnown(int count) {
        return Math.max(MIN_UPSTREAMS, Math.min(SUFFICIENT_UPSTREAMS, (int) Math.ceil(count * MIN_KNOWN_FRACTION)));
    }

    private static boolean isLasting(PaceHistory.Estimate estimate) {
        return estimate.intervals() >= MIN_INTERVALS;
    }

    /** Returns the report to publish now, if the pace has changed or needs a confirmation and its delay is over. */
    private Optional<EnginePaceReport> dueReport(InstanceId engine, State state, long now) {
        PaceHistory.Estimate own = state.observed.estimate(now);
        if (!isLasting(own) || !snapshot(state.service, now).uneven()) {
            return Optional.empty();
        }
        boolean isFirst = state.reportedNanos <= 0;
        long sinceNanos = now - state.reportedAtNanos;
        double change = isFirst ? 1 : Math.max(own.time() / state.reportedNanos, state.reportedNanos / own.time());
        boolean needed = isFirst
                || (change >= REPORTED_CHANGE && sinceNanos >= MIN_REPORT_INTERVAL.toNanos())
                || sinceNanos >= CONFIRMATION_INTERVAL.toNanos();
        if (!needed) {
            state.reportDue = false;
            return Optional.empty();
        }
        if (!state.reportDue) {
            state.reportDue = true;
            state.reportDueAtNanos = now + random.nextLong(MAX_REPORT_DELAY.toNanos());
        }
        if (now - state.reportDueAtNanos < 0) {
            return Optional.empty();
        }
        state.reportDue = false;
        state.reportedNanos = own.time();
        state.reportedAtNanos = now;
        state.ownReport = true;
        return Optional.of(new EnginePaceReport(engine, state.startedAtMillis, self, own.time()));
    }

    private State running(InstanceId instance, long startedAtMillis) {
        State state = states.get(instance);
        return state != null && state.startedAtMillis == startedAtMillis ? state : null;
    }

    /** Returns the number of upstreams whose lasting pace differs from the usual one of their service. */
    public int differingCount() {
        return lock.with(() -> {
            long now = clock.nanos();
            return (int) states.values().stream()
                    .map(state -> state.service)
                    .distinct()
                    .map(service -> snapshot(service, now))
                    .filter(PaceSnapshot::uneven)
                    .flatMap(snapshot -> snapshot.paces().values().stream())
                    .filter(pace -> pace.relative() >= MIN_DIFFERENCE || pace.relative() <= 1 / MIN_DIFFERENCE)
                    .count();
        });
    }

    /** Discards what is known of an upstream that has left. */
    public void removeInstance(InstanceId instance) {
        lock.run(() -> states.remove(instance));
    }
}
