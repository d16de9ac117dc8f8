package coriandersill.experiment;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.InstanceId;
import coriandersill.core.ManualClock;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.routing.CallResult;
import coriandersill.routing.OutlierSettings;
import coriandersill.routing.PaceWindow;
import coriandersill.routing.RouteOutlierDetector;
import coriandersill.routing.RouteRequest;
import coriandersill.routing.SlowEngineExchange;
import coriandersill.routing.SlowEngineReport;
import coriandersill.routing.SlowEngines;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Many entries before many engines, one of which may turn slow: how soon do the entries know, and how often are they
 * wrong?
 *
 * <p>Each engine decodes its streams in steps; prompts are prefilled in chunks between the steps and delay all of its
 * streams. Streams and prompts arrive at random entries and go to the best of a few engines. Two detectors watch:
 * {@link SlowEngines}, by the pace of running streams over all entries, and {@link RouteOutlierDetector}, by each
 * entry's own calls. Neither changes where streams go, as in the moments before a slow engine is known.
 */
final class SlowEngineModel {
    private static final ServiceName SERVICE = ServiceName.of("scribe");
    private static final RouteRequest ROUTE = new RouteRequest(
            SERVICE, RouteName.of("draft"), VersionName.of("v1"), AvailabilityZone.of("zone-a"), 0, 0, Set.of());

    private static final double STEP_MILLIS = 7;
    private static final double STEP_MILLIS_PER_STREAM = 0.12;
    private static final double PREFILL_TOKENS_PER_MILLI = 14;
    private static final int PREFILL_CHUNK_TOKENS = 112;
    private static final int STEPS_PER_EVENT = 4;
    private static final int EVENTS_PER_STREAM = 348;
    private static final int STREAM_PROMPT_TOKENS = 3_079;
    private static final int SHORT_PROMPT_TOKENS = 2_550;

    /** The number of engines that are compared before a prompt is placed. */
    private static final int SAMPLE_SIZE = 4;

    /** Arrivals a second and engine. */
    private static final double STREAMS_PER_SECOND = 0.256;

    private static final double SHORT_PROMPTS_PER_SECOND = 0.53;

    /** The time until what one entry has written reaches the others. */
    private static final Duration EXCHANGE_DELAY = Duration.ofMillis(60);

    private final Settings settings;
    private final SplittableRandom random;
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final EventQueue queue = new EventQueue(clock);
    private final List<Engine> engines = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final Set<InstanceId> alarmed = new HashSet<>();
    private double detectedAfterMillis = Double.NaN;
    private double ownCallsDetectedAfterMillis = Double.NaN;
    private int falseAlarms;

    /**
     * The settings of a run.
     *
     * @param entryCount the number of entries
     * @param engineCount the number of engines
     * @param slowdown how many times as long the first engine takes for everything; 1 for no slow engine
     * @param slowFrom when it turns slow
     * @param duration the length of the run
     */
    record Settings(int entryCount, int engineCount, double slowdown, Duration slowFrom, Duration duration) {}

    /**
     * The outcome of a run.
     *
     * @param detectedAfterMillis when all entries knew of the slow engine, after it turned slow; empty if they never
     *     did
     * @param ownCallsDetectedAfterMillis when the first entry knew it by its own calls; empty if none did
     * @param falseAlarms how often another engine was taken for slow
     */
    record Result(OptionalDouble detectedAfterMillis, OptionalDouble ownCallsDetectedAfterMillis, int falseAlarms) {}

    private SlowEngineModel(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        for (int i = 0; i < settings.entryCount(); i++) {
            entries.add(new Entry(InstanceId.of("entry-" + i)));
        }
        for (int i = 0; i < settings.engineCount(); i++) {
            engines.add(new Engine(InstanceId.of("engine-" + i), i == 0));
        }
    }

    /** Runs the model. */
    static Result run(Settings settings, long seed) {
        SlowEngineModel model = new SlowEngineModel(settings, seed);
        model.scheduleStream();
        model.scheduleShortPrompt();
        while (model.queue.nowNanos() < settings.duration().toNanos() && model.queue.runNext()) {
            // Each event schedules the next ones.
        }
        return new Result(
                present(model.detectedAfterMillis), present(model.ownCallsDetectedAfterMillis), model.falseAlarms);
    }

    private void scheduleStream() {
        queue.schedule(exponentialNanos(STREAMS_PER_SECOND * engines.size()), () -> {
            Entry entry = entries.get(random.nextInt(entries.size()));
            chooseEngine().start(new Stream(entry, queue.nowNanos()));
            scheduleStream();
        });
    }

    private void scheduleShortPrompt() {
        queue.schedule(exponentialNanos(SHORT_PROMPTS_PER_SECOND * engines.size()), () -> {
            chooseEngine().prefill(SHORT_PROMPT_TOKENS);
            scheduleShortPrompt();
        });
    }

    /**
     * Returns the best of a few random engines: the one with the fewest prompt tokens to prefill, then the fewest
     * streams.
     */
    private Engine chooseEngine() {
        return random.ints(SAMPLE_SIZE, 0, engines.size())
                .mapToObj(engines::get)
                .min(Comparator.<Engine>comparingInt(engine -> engine.tokensToPrefill)
                        .thenComparingInt(engine -> engine.streams.size()))
                .orElseThrow();
    }

    private static OptionalDouble present(double millis) {
        return Double.isNaN(millis) ? OptionalDouble.empty() : OptionalDouble.of(millis);
    }

    private double millisSinceSlow() {
        return (queue.nowNanos() - settings.slowFrom().toNanos()) / 1e6;
    }

    private boolean isSlowNow(Engine engine) {
        return engine.turnsSlow && settings.slowdown() > 1 && millisSinceSlow() >= 0;
    }

    private void onReport(SlowEngineReport report) {
        Engine engine = engines.stream()
                .filter(candidate -> candidate.id.equals(report.engine()))
                .findFirst()
                .orElseThrow();
        boolean isNew = alarmed.add(engine.id);
        if (!isSlowNow(engine) && isNew) {
            falseAlarms++;
        }
        queue.schedule(EXCHANGE_DELAY.toNanos(), () -> {
            entries.forEach(entry -> entry.slowEngines.apply(report));
            if (isSlowNow(engine) && Double.isNaN(detectedAfterMillis)) {
                detectedAfterMillis = millisSinceSlow();
            }
        });
    }

    private long exponentialNanos(double perSecond) {
        return (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
    }

    /** An entry with its two detectors. */
    private final class Entry implements SlowEngineExchange {
        private final SlowEngines slowEngines;
        private final RouteOutlierDetector ownCalls = RouteOutlierDetector.of(OutlierSettings.standard());

        private Entry(InstanceId id) {
            slowEngines = SlowEngines.create(id, clock, this);
        }

        @Override
        public void publish(SlowEngineReport report) {
            onReport(report);
        }

        @Override
        public void publishEnd(InstanceId engine) {
            alarmed.remove(engine);
            queue.schedule(
                    EXCHANGE_DELAY.toNanos(), () -> entries.forEach(entry -> entry.slowEngines.applyEnd(engine)));
        }

        private void streamEnded(Engine engine, long nanos) {
            ownCalls.record(engine.id, ROUTE, CallResult.ok(nanos / EVENTS_PER_STREAM, 0, EVENTS_PER_STREAM), nanos);
            if (isSlowNow(engine)
                    && Double.isNaN(ownCallsDetectedAfterMillis)
                    && ownCalls.reducedShares(ROUTE, queue.nowNanos()).containsKey(engine.id)) {
                ownCallsDetectedAfterMillis = millisSinceSlow();
            }
        }
    }

    /** A stream at an engine. */
    private static final class Stream {
        private final Entry entry;
        private final PaceWindow pace = PaceWindow.create();
        private final long startedAtNanos;
        private int steps;

        private Stream(Entry entry, long startedAtNanos) {
            this.entry = entry;
            this.startedAtNanos = startedAtNanos;
        }
    }

    /** An engine that decodes and prefills in steps. */
    private final class Engine {
        private final InstanceId id;
        private final boolean turnsSlow;
        private final List<Stream> streams = new ArrayList<>();
        private int tokensToPrefill;
        private boolean stepping;

        private Engine(InstanceId id, boolean turnsSlow) {
            this.id = id;
            this.turnsSlow = turnsSlow;
        }

        private void start(Stream stream) {
            streams.add(stream);
            prefill(STREAM_PROMPT_TOKENS);
        }

        private void prefill(int tokens) {
            tokensToPrefill += tokens;
            step();
        }

        private void step() {
            if (stepping || (streams.isEmpty() && tokensToPrefill == 0)) {
                return;
            }
            stepping = true;
            int chunk = Math.min(PREFILL_CHUNK_TOKENS, tokensToPrefill);
            tokensToPrefill -= chunk;
            double millis = STEP_MILLIS + STEP_MILLIS_PER_STREAM * streams.size() + chunk / PREFILL_TOKENS_PER_MILLI;
            double slowdown = isSlowNow(this) ? settings.slowdown() : 1;
            queue.schedule((long) (millis * slowdown * 1e6), this::onStepDone);
        }

        private void onStepDone() {
            stepping = false;
            for (Stream stream : List.copyOf(streams)) {
                stream.steps++;
                if (stream.steps % STEPS_PER_EVENT == 0) {
                    onEvent(stream);
                }
            }
            step();
        }

        private void onEvent(Stream stream) {
            stream.pace
                    .record(queue.nowNanos())
                    .ifPresent(pace -> stream.entry.slowEngines.recordPace(SERVICE, id, pace));
            if (stream.steps == STEPS_PER_EVENT * EVENTS_PER_STREAM) {
                streams.remove(stream);
                stream.entry.streamEnded(this, queue.nowNanos() - stream.startedAtNanos);
            }
        }
    }
}
