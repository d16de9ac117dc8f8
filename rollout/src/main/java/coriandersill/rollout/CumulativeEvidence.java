package coriandersill.rollout;

import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;

/**
 * Counts the calls of one rollout since it was ordered, and merges in the counts of the peers.
 *
 * <p>Unlike {@link EvidenceTable} it has no time windows, so that processes need no common clock, and suits rollouts of
 * seconds or minutes. Thread-safe: guarded by a lock of rank {@link LockRank#ROLLOUT}.
 */
public final class CumulativeEvidence {
    private static final long ONLY_WINDOW = 0;

    private final InstanceId self;
    private final long incarnation;
    private final RankedLock lock = RankedLock.of(LockRank.ROLLOUT);
    private final Map<EvidenceKey, CellCounter> own = new HashMap<>();
    private final Map<InstanceId, EvidenceSummary> peers = new HashMap<>();
    private long sequence;

    private CumulativeEvidence(InstanceId self, long incarnation) {
        this.self = Objects.requireNonNull(self, "self");
        this.incarnation = incarnation;
    }

    /**
     * Returns evidence without calls.
     *
     * @param self this process
     * @param incarnation a number that no earlier process of the same name used
     */
    public static CumulativeEvidence of(InstanceId self, long incarnation) {
        return new CumulativeEvidence(self, incarnation);
    }

    /** Counts a call of this process; ignored if {@link EvidenceTable#MAX_CELLS} other cells are in use. */
    public void record(CallSample sample) {
        update(sample, counter -> counter.add(sample));
    }

    /** Adds the time between tokens to a call that is counted already. */
    public void recordBetweenTokens(CallSample sample) {
        update(sample, counter -> counter.addBetweenTokens(sample.betweenTokensNanos()));
    }

    private void update(CallSample sample, Consumer<CellCounter> change) {
        EvidenceKey key = new EvidenceKey(sample.service(), sample.version(), sample.route(), sample.zone());
        lock.run(() -> {
            if (own.containsKey(key) || own.size() < EvidenceTable.MAX_CELLS) {
                change.accept(own.computeIfAbsent(key, ignored -> new CellCounter()));
            }
        });
    }

    /** Returns the counts of this process, for sending to peers. */
    public EvidenceSummary summary() {
        return lock.with(() -> {
            Map<EvidenceKey, EvidenceCell> cells = new HashMap<>();
            own.forEach((key, counter) -> cells.put(key, counter.snapshot()));
            return new EvidenceSummary(self, incarnation, ONLY_WINDOW, ++sequence, cells);
        });
    }

    /**
     * Merges the counts of a peer, which replace earlier ones of the same process. Those of this process are ignored,
     * as are older ones and, once {@link EvidenceTable#MAX_SOURCES} peers are known, those of further peers.
     */
    public void accept(EvidenceSummary summary) {
        lock.run(() -> {
            EvidenceSummary known = peers.get(summary.source());
            boolean isOlder = known != null
                    && known.incarnation() == summary.incarnation()
                    && known.sequence() >= summary.sequence();
            boolean isFull = known == null && peers.size() >= EvidenceTable.MAX_SOURCES;
            if (!summary.source().equals(self)
                    && !isOlder
                    && !isFull
                    && summary.cells().size() <= EvidenceTable.MAX_CELLS) {
                peers.put(summary.source(), summary);
            }
        });
    }

    /** Returns the counts of all processes for two versions of a service. */
    public List<Stratum> strata(ServiceName service, VersionName from, VersionName to) {
        return lock.with(() -> {
            StrataBuilder strata = new StrataBuilder(service, from, to);
            own.forEach((key, counter) -> strata.add(key, counter.snapshot()));
            peers.values().forEach(summary -> summary.cells().forEach(strata::add));
            return strata.build();
        });
    }
}
