package coriandersill.soak;

import java.util.List;
import java.util.Random;

/** The kinds of faults of a run. Engines stream in chunks, with a length or without either, unless a kind says so. */
enum FaultKind {
    /** Faults of entries, of the store, of links and of upstreams, one over another. */
    GENERAL {
        @Override
        FaultSeries series(Target target, Random random, long seed) {
            return new FaultInjector(
                    target.environment(),
                    target.entries(),
                    target.storeProxies(),
                    target.disturbances(),
                    random,
                    new Random(~seed));
        }
    },
    /** Records of another writer, and upstreams that leave one after the other beside them. */
    DEPARTURES {
        @Override
        FaultSeries series(Target target, Random random, long seed) {
            return new DepartureSeries(target.environment(), random);
        }
    },
    /** Outages of the store in which listings expire, and upstreams that vanish from it without a word. */
    EXPIRIES {
        @Override
        FaultSeries series(Target target, Random random, long seed) {
            return new CombinedSeries(List.of(new ExpirySeries(target, random), new ReloadSeries(target, random)));
        }
    },
    /**
     * Storms of large configurations and large odd records, upstreams whose responses never end, and beside them
     * reloads, upstreams that leave and entries that are killed.
     */
    FLOODS {
        @Override
        FaultSeries series(Target target, Random random, long seed) {
            return new CombinedSeries(List.of(
                    new FloodSeries(target.environment(), random),
                    new DepartureSeries(target.environment(), random),
                    new ReloadSeries(target, random),
                    new KillSeries(target, random)));
        }

        @Override
        void prepare(SoakEnvironment environment) throws Exception {
            environment.addEndlessUpstream(Upstream.PLAIN_SERVICE);
            environment.addEndlessUpstream(Upstream.ENGINE_SERVICE);
        }

        @Override
        boolean disturbsAnswers() {
            return false;
        }

        /** Streams in chunks alone: with other framings, reports that come late beside floods are not traced yet. */
        @Override
        EngineBehaviors engineBehaviors(long seed) {
            return EngineBehaviors.CHUNKED;
        }
    },
    /** Stops of entries before engines that are full, with reloads and changed configurations beside them. */
    STOPS {
        @Override
        FaultSeries series(Target target, Random random, long seed) {
            return new StopSeries(target, random);
        }

        @Override
        Load load(Target target, Random random) {
            return new KeptConnectionLoad(target.environment(), target.entries(), target.disturbances(), random);
        }

        @Override
        EngineShape engineShape() {
            return EngineShape.NARROW;
        }
    },
    /** The same beside records of another writer and upstreams that leave one after the other. */
    OVERLAPS {
        @Override
        FaultSeries series(Target target, Random random, long seed) {
            return new CombinedSeries(
                    List.of(new StopSeries(target, random), new DepartureSeries(target.environment(), random)));
        }

        @Override
        Load load(Target target, Random random) {
            return STOPS.load(target, random);
        }

        @Override
        EngineShape engineShape() {
            return STOPS.engineShape();
        }
    },
    /**
     * Engines that leave one soon after the other while they stream, and whose answers to orders to stop a generation
     * are late, lost or refusals.
     */
    MOVES {
        @Override
        FaultSeries series(Target target, Random random, long seed) {
            return new MoveSeries(target.environment(), random);
        }

        @Override
        Load load(Target target, Random random) {
            return new LoadGenerator(
                    target.environment(), target.entries(), target.disturbances(), random, CallPattern.LONG_STREAMS);
        }

        @Override
        EngineShape engineShape() {
            return EngineShape.DIRECT;
        }

        @Override
        EngineBehaviors engineBehaviors(long seed) {
            return engineId -> new DrawnBehavior(seed, engineId);
        }
    };

    /** What faults act on; the proxies to the store are in the order of the entries. */
    record Target(
            SoakEnvironment environment,
            List<EntryProcess> entries,
            List<LoopbackProxy> storeProxies,
            DisturbanceTracker disturbances) {}

    /** Returns the faults of this kind, which depend on the seed alone. */
    abstract FaultSeries series(Target target, Random random, long seed);

    /** Adds to the environment what faults need from the start. */
    void prepare(SoakEnvironment environment) throws Exception {}

    /** Whether calls that sound upstreams receive may end without an answer. */
    boolean disturbsAnswers() {
        return true;
    }

    /** Returns the calls that are made beside the faults. */
    Load load(Target target, Random random) {
        return new LoadGenerator(
                target.environment(), target.entries(), target.disturbances(), random, CallPattern.MIXED);
    }

    /** Returns how the engines are. */
    EngineShape engineShape() {
        return EngineShape.WIDE;
    }

    /** Returns what the engines do with generations, which depends on the seed alone. */
    EngineBehaviors engineBehaviors(long seed) {
        return engineId -> new DrawnFraming(seed, engineId);
    }
}
