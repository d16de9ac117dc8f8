package coriandersill.rollout;

import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import coriandersill.core.VersionName;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Counts the calls of this process by time window and merges in the counts of its peers.
 *
 * <pre>{@code
 * EvidenceTable table = EvidenceTable.of(self, incarnation, clock);
 * table.record(sample);
 * table.summaries().forEach(peer::send);
 * table.accept(summaryOfPeer);
 * List<WindowEvidence> closed = table.closedWindowsAfter(lastJudged, service, from, to, share);
 * }</pre>
 *
 * <p>A window closes {@link #CLOSE_DELAY} after its end, and the last {@link #RETAINED_WINDOWS} windows are retained. A
 * process holds at most {@link #MAX_CELLS} cells of its own per window; samples beyond that are dropped and counted.
 *
 * <p>Thread-safe; the table is guarded by a lock of rank {@link LockRank#ROLLOUT}.
 */
public final class EvidenceTable {
    /** The length of a time window. */
    public static final Duration WINDOW = Duration.ofSeconds(5);

    /** How long after its end a window closes and is judged; summaries that arrive later do not change a judgement. */
    public static final Duration CLOSE_DELAY = Duration.ofSeconds(2);

    /** The number of windows retained. */
    public static final int RETAINED_WINDOWS = 12;

    /** The maximum number of cells of its own that a process holds per window. */
    public static final int MAX_CELLS = 1024;

    /** The maximum number of peer processes whose summaries are held per window. */
    public static final int MAX_SOURCES = 512;

    private static final int REPORTED_WINDOWS = 2;

    private final InstanceId self;
    private final long incarnation;
    private final InstantSource clock;
    private final RankedLock lock = RankedLock.of(LockRank.ROLLOUT);
    private final NavigableMap<Long, Window> windows = new TreeMap<>();
    private long sequence;
    private long droppedCount;

    private record Source(InstanceId instance, long incarnation) {}

    private static final class Window {
        private final Map<EvidenceKey, CellCounter> own = new HashMap<>();
        private final Map<Source, EvidenceSummary> peers = new HashMap<>();
    }

    private EvidenceTable(InstanceId self, long incarnation, InstantSource clock) {
        this.self = Objects.requireNonNull(self, "self");
        this.incarnation = incarnation;
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Returns an empty table.
     *
     * @param self this process
     * @param incarnation a number that no earlier process of the same name used, such as the start time
     * @param clock the wall clock; if the clocks of processes differ by more than a window, adjacent windows are mixed,
     *     which weakens the comparison but shifts the counts of both versions alike
     */
    public static EvidenceTable of(InstanceId self, long incarnation, InstantSource clock) {
        return new EvidenceTable(self, incarnation, clock);
    }

    /** Returns the number of the current window. */
    public long currentWindow() {
        return Math.floorDiv(clock.millis(), WINDOW.toMillis());
    }

    /** Counts a call made by this process. */
    public void record(CallSample sample) {
        EvidenceKey key = new EvidenceKey(sample.service(), sample.version(), sample.route(), sample.zone());
        lock.run(() -> {
            Window window = getOrCreateWindow(currentWindow());
            CellCounter counter = window.own.get(key);
            if (counter == null) {
                if (window.own.size() >= MAX_CELLS) {
                    droppedCount++;
                    return;
                }
                counter = new CellCounter();
                window.own.put(key, counter);
            }
            counter.add(sample);
        });
    }

    /** Returns the summaries of the current window and the previous one, for sending to peers. */
    public List<EvidenceSummary> summaries() {
        return lock.with(() -> {
            long current = currentWindow();
            List<EvidenceSummary> summaries = new ArrayList<>();
            for (Map.Entry<Long, Window> entry :
                    windows.subMap(current - REPORTED_WINDOWS + 1, current + 1).entrySet()) {
                if (!entry.getValue().own.isEmpty()) {
                    summaries.add(summary(entry.getKey(), entry.getValue()));
                }
            }
            return summaries;
        });
    }

    /**
     * Merges the summary of a peer and returns whether it was new. Outdated and duplicate summaries are ignored, as are
     * those of this process, those with more than {@link #MAX_CELLS} cells, and those of a window that is no longer
     * retained or is more than one window in the future.
     */
    public boolean accept(EvidenceSummary summary) {
        return lock.with(() -> {
            long current = currentWindow();
            if (summary.source().equals(self)
                    || summary.window() > current + 1
                    || summary.window() <= current - RETAINED_WINDOWS
                    || summary.cells().size() > MAX_CELLS) {
                return false;
            }
            Map<Source, EvidenceSummary> peers = getOrCreateWindow(summary.window()).peers;
            Source source = new Source(summary.source(), summary.incarnation());
            EvidenceSummary known = peers.get(source);
            if (known == null && peers.size() >= MAX_SOURCES) {
                droppedCount++;
                return false;
            }
            if (known != null && known.sequence() >= summary.sequence()) {
                return false;
            }
            peers.put(source, summary);
            return true;
        });
    }

    /**
     * Returns the evidence of the closed windows after {@code lastJudged}, oldest first.
     *
     * @param lastJudged the number of the last window already judged
     * @param service the service
     * @param from its old version
     * @param to its new version
     * @param share the share of the new version, recorded in the returned evidence
     */
    public List<WindowEvidence> closedWindowsAfter(
            long lastJudged, ServiceName service, VersionName from, VersionName to, double share) {
        return lock.with(() -> {
            long firstUnclosed = Math.floorDiv(clock.millis() - CLOSE_DELAY.toMillis(), WINDOW.toMillis());
            List<WindowEvidence> closed = new ArrayList<>();
            windows.subMap(Math.min(lastJudged + 1, firstUnclosed), firstUnclosed)
                    .forEach((number, window) -> {
                        StrataBuilder strata = new StrataBuilder(service, from, to);
                        window.own.forEach((key, counter) -> strata.add(key, counter.snapshot()));
                        window.peers.values().forEach(summary -> summary.cells().forEach(strata::add));
                        closed.add(new WindowEvidence(number, share, strata.build()));
                    });
            return closed;
        });
    }

    /** The number of samples and summaries dropped because the table was full. */
    public long droppedCount() {
        return lock.with(() -> droppedCount);
    }

    private EvidenceSummary summary(long number, Window window) {
        Map<EvidenceKey, EvidenceCell> cells = new HashMap<>();
        window.own.forEach((key, counter) -> cells.put(key, counter.snapshot()));
        return new EvidenceSummary(self, incarnation, number, ++sequence, cells);
    }

    /** Returns a window, creating it if necessary, and removes the windows that are no longer retained. */
    private Window getOrCreateWindow(long number) {
        windows.headMap(currentWindow() - RETAINED_WINDOWS, true).clear();
        return windows.computeIfAbsent(number, ignored -> new Window());
    }
}
