package coriandersill.quarantine;

import coriandersill.core.InstanceId;
import coriandersill.core.MonotonicClock;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Finds the prompt parts whose generations crash engines (poison pills), and refuses further generations with them.
 *
 * <pre>{@code
 * PromptQuarantine quarantine = PromptQuarantine.create(clock, self, exchange, observer);
 * quarantine.recordOwnCrash(engine, suspects); // an engine's process ended
 * quarantine.recordSuccess(traits);            // an engine served a generation and lived
 * QuarantineDecision decision = quarantine.check(callId, traits);
 * }</pre>
 *
 * <p>A part is quarantined after {@link #MIN_CRASHES} crashes of engines at which a generation with it was about to
 * begin, with no successful generation with it in between. A part that sound generations share is acquitted by the next
 * of them. As long as the crashes have further traits in common, such as the workspace, only generations with all of
 * these traits are refused: a caller can then get only its own generations refused.
 *
 * <p>After {@link #INITIAL_HOLD}, doubled with each further crash, the entry that reported the last crash admits one
 * generation with the part at a time as a probe. The others do so later, each at another time, in case that entry is
 * gone.
 *
 * <p>Thread-safe: guarded by a lock of rank {@link LockRank#QUARANTINE}. The exchange and the observer are called
 * without it.
 */
public final class PromptQuarantine {
    /** Consecutive crashes after which a part is quarantined; simultaneous ones count as one. */
    public static final int MIN_CRASHES = 3;

    /** Crashes within this time of each other may have a common cause outside the generations. */
    public static final Duration SIMULTANEOUS = Duration.ofMillis(300);

    /** How long a part is quarantined before the first probe. */
    public static final Duration INITIAL_HOLD = Duration.ofMinutes(1);

    /** How long a part that is not quarantined stays suspect after a crash. */
    public static final Duration SUSPICION_AGE = Duration.ofMinutes(10);

    /** How long a part stays quarantined after the last crash if no generation with it comes. */
    public static final Duration QUARANTINE_AGE = Duration.ofHours(1);

    /** The maximum number of parts held; those with the fewest and oldest crashes are dropped for new ones. */
    public static final int MAX_PARTS = 4_096;

    /** How many parts are dropped at once, so that dropping them costs little for each new part. */
    private static final int EVICTED_PARTS = 256;

    private static final Duration PROBE_TIMEOUT = Duration.ofMinutes(1);
    private static final int MAX_HOLD_DOUBLINGS = 5;
    private static final int SUBSTITUTE_STEPS = 1_000;
    private static final Duration EXPIRY_INTERVAL = Duration.ofSeconds(1);

    private final RankedLock lock = RankedLock.of(LockRank.QUARANTINE);
    private final Map<PromptPart, Suspect> suspects = new LinkedHashMap<>();
    private long expiredAtNanos;
    private final MonotonicClock clock;
    private final InstanceId self;
    private final QuarantineExchange exchange;
    private final QuarantineObserver observer;

    /** Whether the table is empty, so that calls need not take the lock while there is no trouble. */
    private volatile boolean empty = true;

    private PromptQuarantine(
            MonotonicClock clock, InstanceId self, QuarantineExchange exchange, QuarantineObserver observer) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.expiredAtNanos = clock.nanos();
        this.self = Objects.requireNonNull(self, "self");
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.observer = Objects.requireNonNull(observer, "observer");
    }

    /**
     * Returns an empty quarantine.
     *
     * @param self this entry
     */
    public static PromptQuarantine create(
            MonotonicClock clock, InstanceId self, QuarantineExchange exchange, QuarantineObserver observer) {
        return new PromptQuarantine(clock, self, exchange, observer);
    }

    /** Decides whether a generation may be sent; {@code call} is its identifier. */
    public QuarantineDecision check(String call, CallTraits traits) {
        if (empty || traits.parts().isEmpty()) {
            return new QuarantineDecision.Admitted();
        }
        Changes changes = new Changes();
        QuarantineDecision decision = lock.with(() -> {
            long now = clock.nanos();
            expire(now, changes);
            QuarantineDecision strictest = new QuarantineDecision.Admitted();
            for (PromptPart part : traits.parts()) {
                Suspect suspect = suspects.get(part);
                if (suspect != null && suspect.count() >= MIN_CRASHES && traits.containsAll(suspect.scope())) {
                    strictest = decide(suspect, call, now);
                    if (strictest instanceof QuarantineDecision.Refused) {
                        return strictest;
                    }
                }
            }
            return strictest;
        });
        changes.announce(observer);
        return decision;
    }

    private QuarantineDecision decide(Suspect suspect, String call, long now) {
        Duration hold = INITIAL_HOLD.multipliedBy(1L << Math.min(suspect.count() - MIN_CRASHES, MAX_HOLD_DOUBLINGS));
        Duration wait = suspect.reporter().equals(self) ? hold : substituteWait(suspect, hold);
        Duration left = wait.minus(suspect.sinceLastCrash(now));
        boolean due = left.isNegative() || left.isZero();
        if (due && suspect.tryProbe(call, now, PROBE_TIMEOUT)) {
            return new QuarantineDecision.Probe(suspect.verdict());
        }
        return new QuarantineDecision.Refused(
                suspect.verdict(), suspect.sinceLastCrash(now), due ? PROBE_TIMEOUT : left);
    }

    /** Returns when this entry tests a part if the reporter has not; different for each entry, so that few do. */
    private Duration substituteWait(Suspect suspect, Duration hold) {
        int hash = Objects.hash(self, suspect.part(), suspect.count());
        double fraction = Math.floorMod(hash, SUBSTITUTE_STEPS) / (double) SUBSTITUTE_STEPS;
        return hold.plus(Duration.ofNanos((long) (hold.toNanos() * (1 + 2 * fraction))));
    }

    /** Records that an engine's process ended at which this entry had generations; reports it to the other entries. */
    public void recordOwnCrash(EngineIncarnation engine, List<CallTraits> suspects) {
        CrashReport report = new CrashReport(engine, self, suspects);
        exchange.publish(report);
        for (QuarantineVerdict verdict : apply(report)) {
            exchange.publish(verdict);
        }
    }

    /** Records the report of another entry; repeated reports have no effect. */
    public void recordCrash(CrashReport report) {
        if (!report.reporter().equals(self)) {
            apply(report);
        }
    }

    private List<QuarantineVerdict> apply(CrashReport report) {
        Changes changes = new Changes();
        List<QuarantineVerdict> verdicts = lock.with(() -> {
            long now = clock.nanos();
            expire(now, changes);
            Map<PromptPart, Optional<QuarantineVerdict>> before = new LinkedHashMap<>();
            for (CallTraits traits : report.suspects()) {
                for (PromptPart part : traits.parts()) {
                    Suspect suspect = getOrAdd(part, report.reporter(), changes);
                    before.computeIfAbsent(part, ignored -> verdict(suspect));
                    suspect.add(report.engine(), traits, report.reporter(), now, SIMULTANEOUS);
                }
            }
            List<QuarantineVerdict> changed = new ArrayList<>();
            before.forEach((part, verdictBefore) -> Optional.ofNullable(suspects.get(part))
                    .flatMap(PromptQuarantine::verdict)
                    .filter(verdict -> !Optional.of(verdict).equals(verdictBefore))
                    .ifPresent(changed::add));
            empty = suspects.isEmpty();
            return changed;
        });
        changes.announce(observer);
        verdicts.forEach(observer::quarantined);
        return verdicts;
    }

    /** Takes over a verdict that another entry derived from reports that this one may not have. */
    public void adopt(QuarantineVerdict verdict) {
        Changes changes = new Changes();
        Optional<QuarantineVerdict> changed = lock.with(() -> {
            Suspect suspect = getOrAdd(verdict.part(), verdict.reporter(), changes);
            Optional<QuarantineVerdict> before = verdict(suspect);
            suspect.adopt(verdict, clock.nanos());
            empty = false;
            return verdict(suspect).filter(after -> !Optional.of(after).equals(before));
        });
        changes.announce(observer);
        changed.ifPresent(observer::quarantined);
    }

    /** Records that an engine served a generation and lives; tells the other entries if a part of it was suspect. */
    public void recordSuccess(CallTraits traits) {
        if (empty) {
            return;
        }
        for (PromptPart part : traits.parts()) {
            if (acquit(part)) {
                exchange.publishAcquittal(part);
            }
        }
    }

    /** Withdraws all suspicion of a part; returns whether there was any. */
    public boolean acquit(PromptPart part) {
        if (empty) {
            return false;
        }
        Optional<Suspect> removed = lock.with(() -> {
            Optional<Suspect> suspect = Optional.ofNullable(suspects.remove(part));
            empty = suspects.isEmpty();
            return suspect;
        });
        removed.filter(suspect -> suspect.count() >= MIN_CRASHES)
                .ifPresent(suspect -> observer.released(part, QuarantineObserver.Reason.ACQUITTED));
        return removed.isPresent();
    }

    /** Returns the number of suspect parts, including those in quarantine. */
    public int suspectCount() {
        return lock.with(suspects::size);
    }

    /** Returns the verdicts in force. */
    public List<QuarantineVerdict> verdicts() {
        return lock.with(() -> suspects.values().stream()
                .flatMap(suspect -> verdict(suspect).stream())
                .toList());
    }

    private static Optional<QuarantineVerdict> verdict(Suspect suspect) {
        return suspect.count() < MIN_CRASHES ? Optional.empty() : Optional.of(suspect.verdict());
    }

    private Suspect getOrAdd(PromptPart part, InstanceId reporter, Changes changes) {
        Suspect known = suspects.get(part);
        if (known != null) {
            return known;
        }
        if (suspects.size() >= MAX_PARTS) {
            evictWeakest(changes);
        }
        Suspect added = new Suspect(part, reporter);
        suspects.put(part, added);
        return added;
    }

    private void evictWeakest(Changes changes) {
        long now = clock.nanos();
        suspects.values().stream()
                .sorted(Comparator.comparingInt(Suspect::count)
                        .thenComparing(suspect -> suspect.sinceLastCrash(now), Comparator.reverseOrder()))
                .limit(EVICTED_PARTS)
                .toList()
                .forEach(weakest -> remove(weakest, QuarantineObserver.Reason.EVICTED, changes));
    }

    private void expire(long now, Changes changes) {
        if (now - expiredAtNanos < EXPIRY_INTERVAL.toNanos()) {
            return;
        }
        expiredAtNanos = now;
        List<Suspect> expired = suspects.values().stream()
                .filter(suspect -> suspect.sinceLastCrash(now)
                                .compareTo(suspect.count() < MIN_CRASHES ? SUSPICION_AGE : QUARANTINE_AGE)
                        > 0)
                .toList();
        expired.forEach(suspect -> remove(suspect, QuarantineObserver.Reason.EXPIRED, changes));
        empty = suspects.isEmpty();
    }

    private void remove(Suspect suspect, QuarantineObserver.Reason reason, Changes changes) {
        suspects.remove(suspect.part());
        if (suspect.count() >= MIN_CRASHES) {
            changes.released.put(suspect.part(), reason);
        }
    }

    /** Releases that happened under the lock, to be announced after it. */
    private static final class Changes {
        private final Map<PromptPart, QuarantineObserver.Reason> released = new LinkedHashMap<>();

        private void announce(QuarantineObserver observer) {
            released.forEach(observer::released);
        }
    }
}
