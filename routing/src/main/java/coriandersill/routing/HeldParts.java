package coriandersill.routing;

import coriandersill.core.InstanceId;
import coriandersill.core.MonotonicClock;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The shared prompt parts that this entry's own generations put into the memory of engines, by incarnation, and the
 * memory that the engines have given to other generations since.
 *
 * <pre>{@code
 * parts.begin(engine, startedAtMillis);
 * parts.recordBegun(engine, startedAtMillis, prefix, otherTokens);
 * PromptSavings savings = parts.savings(prefix);
 * }</pre>
 *
 * <p>The memory given to this entry's generations is counted. That given to other entries' is estimated from the last
 * report: what they occupy is renewed within the mean time that generations stay. The number of parts is bounded; those
 * not used for longest are forgotten first. Thread-safe: guarded by a lock of rank {@link LockRank#ROUTING}.
 */
public final class HeldParts {
    /** The parts known of all engines, so that identifiers chosen by callers occupy about a megabyte at most. */
    static final int MAX_KNOWN_PARTS = 4_096;

    /** Older uses and reports say nothing: engines read their whole memory anew within some ten seconds. */
    static final Duration LIFETIME = Duration.ofSeconds(20);

    /** How long generations are assumed to stay until one has ended; short, so that parts count as evicted early. */
    private static final Duration INITIAL_STAY = Duration.ofSeconds(1);

    /** The part of the evidence on the stay of generations that one more replaces. */
    private static final double STAY_WEIGHT = 0.02;

    private final MonotonicClock clock;
    private final RankedLock lock = RankedLock.of(LockRank.ROUTING);
    private final Map<InstanceId, State> engines = new HashMap<>();
    private final Map<Key, Use> uses = new LinkedHashMap<>(16, 0.75f, true);
    private double meanTokens = 1;
    private double meanTokenNanos = INITIAL_STAY.toNanos();

    private static final class State {
        private final long startedAtMillis;
        private long givenTokens;
        private boolean reported;
        private long otherEntriesTokens;
        private long reportedAtNanos;

        private State(long startedAtMillis) {
            this.startedAtMillis = startedAtMillis;
        }
    }

    private record Key(InstanceId engine, String part) {}

    private record Use(long tokens, long givenTokensBefore, long atNanos) {}

    private HeldParts(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Returns a table without knowledge. */
    public static HeldParts create(MonotonicClock clock) {
        return new HeldParts(clock);
    }

    /** Records which incarnation of an engine runs; what another one held is forgotten. */
    public void begin(InstanceId engine, long startedAtMillis) {
        lock.run(() -> {
            if (running(engine, startedAtMillis) == null) {
                forgetParts(engine);
                engines.put(engine, new State(startedAtMillis));
            }
        });
    }

    /**
     * Records that an engine has begun one of this entry's generations; ignored if the incarnation does not run (any
     * more).
     *
     * @param prefix the shared parts that it has read or held; empty for a generation that brought its own memory
     * @param otherTokens the memory that the generation needs beside these, in tokens
     */
    public void recordBegun(InstanceId engine, long startedAtMillis, PromptPrefix prefix, long otherTokens) {
        lock.run(() -> {
            State state = running(engine, startedAtMillis);
            if (state == null) {
                return;
            }
            long now = clock.nanos();
            state.givenTokens += Math.max(0, Math.min(Integer.MAX_VALUE, otherTokens));
            for (PrefixPart part : prefix.parts()) {
                state.givenTokens += isKnown(uses.get(new Key(engine, part.id())), now) ? 0 : part.tokens();
            }
            for (PrefixPart part : prefix.parts()) {
                uses.put(new Key(engine, part.id()), new Use(part.tokens(), state.givenTokens, now));
            }
            while (uses.size() > MAX_KNOWN_PARTS) {
                uses.remove(uses.keySet().iterator().next());
            }
        });
    }

    private static boolean isKnown(Use use, long nowNanos) {
        return use != null && nowNanos - use.atNanos() <= LIFETIME.toNanos();
    }

    /** Records how long a generation occupied {@code tokens} of an engine's memory. */
    public void recordEnded(long tokens, long stayNanos) {
        if (tokens > 0 && stayNanos > 0) {
            double bounded = Math.min(Integer.MAX_VALUE, tokens);
            long stay = Math.min(LIFETIME.toNanos(), stayNanos);
            lock.run(() -> {
                meanTokens += STAY_WEIGHT * (bounded - meanTokens);
                meanTokenNanos += STAY_WEIGHT * (bounded * stay - meanTokenNanos);
            });
        }
    }

    /** Records the memory that other entries' generations occupy at an engine, as it reports. */
    public void recordOtherEntries(InstanceId engine, long startedAtMillis, long tokens) {
        lock.run(() -> {
            State state = running(engine, startedAtMillis);
            if (state != null) {
                state.reported = true;
                state.otherEntriesTokens = Math.max(0, tokens);
                state.reportedAtNanos = clock.nanos();
            }
        });
    }

    /** Returns what the engines are expected to hold of a prompt; nothing of engines without a recent report. */
    public PromptSavings savings(PromptPrefix prefix) {
        if (prefix.isEmpty()) {
            return PromptSavings.NONE;
        }
        return lock.with(() -> {
            Map<InstanceId, PromptSavings.Engine> known = new HashMap<>();
            engines.forEach((engine, state) -> {
                List<PromptSavings.PartUse> held = held(engine, state, prefix);
                if (!held.isEmpty()) {
                    known.put(engine, new PromptSavings.Engine(held, state.otherEntriesTokens));
                }
            });
            return known.isEmpty() ? PromptSavings.NONE : new PromptSavings(known);
        });
    }

    private List<PromptSavings.PartUse> held(InstanceId engine, State state, PromptPrefix prefix) {
        List<PromptSavings.PartUse> held = new ArrayList<>();
        long now = clock.nanos();
        if (!state.reported || now - state.reportedAtNanos > LIFETIME.toNanos()) {
            return held;
        }
        double stayNanos = meanTokenNanos / meanTokens;
        for (PrefixPart part : prefix.parts()) {
            Use use = uses.get(new Key(engine, part.id()));
            if (use == null || now - use.atNanos() > LIFETIME.toNanos()) {
                break;
            }
            double byOthers = state.otherEntriesTokens * ((now - use.atNanos()) / stayNanos);
            held.add(new PromptSavings.PartUse(
                    Math.min(use.tokens(), part.tokens()), state.givenTokens - use.givenTokensBefore() + byOthers));
        }
        return held;
    }

    private State running(InstanceId engine, long startedAtMillis) {
        State state = engines.get(engine);
        return state != null && state.startedAtMillis == startedAtMillis ? state : null;
    }

    private void forgetParts(InstanceId engine) {
        uses.keySet().removeIf(key -> key.engine().equals(engine));
    }

    /** Forgets an engine that has left. */
    public void removeInstance(InstanceId engine) {
        lock.run(() -> {
            engines.remove(engine);
            forgetParts(engine);
        });
    }

    /** Returns the number of parts known of all engines. */
    int knownParts() {
        return lock.with(uses::size);
    }
}
