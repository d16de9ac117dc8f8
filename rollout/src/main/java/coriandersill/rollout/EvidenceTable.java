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
 * Counts the calls that this process saw, by time window, and merges in what peers counted.
 *
 * <pre>{@code
 * EvidenceTable table = EvidenceTable.of(self, incarnation, clock);
 * table.record(sample);
 * table.summaries().forEach(peer::send);
 * table.accept(summaryOfAPeer);
 * List<WindowEvidence> closed = table.closedSince(lastJudged, service, from, to, share);
 * }</pre>
 *
 * <p>A window is judged {@link #CLOSE_DELAY} after its end, and kept for {@link #RETAINED_WINDOWS}. A process holds at
 * most {@link #MAX_CELLS} cells of its own in a window; samples beyond that are dropped and counted.
 *
 * <p>Safe for use by many threads; the table is guarded by a lock of rank {@link LockRank#ROLLOUT}.
 */
public final class EvidenceTable {
    /** The length of a time window. */
    public static final Duration WINDOW = Duration.ofSeconds(5);

    /** How long after its end a window still takes summaries before it is judged. */
    public static final Duration CLOSE_DELAY = Duration.ofSeconds(2);

    /** How many windows are kept. */
    public static final int RETAINED_WINDOWS = 12;

    /** How many cells of its own a process holds in a window. */
    public static final int MAX_CELLS = 1024;

    /** How many summaries of peers are held in a window. */
    public static final int MAX_SOURCES = 512;

    private static final int SENT_WINDOWS = 2;

    private final InstanceId self;
    private final long incarnation;
    private final InstantSource clock;
    private final RankedLock lock = RankedLock.of(LockRank.ROLLOUT);
    private final NavigableMap<Long, Window> windows = new TreeMap<>();
    private long sequence;
    private long dropped;

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
     * @param incarnation a number that an earlier process of the same name did not have, such as its start time
     * @param clock the time of day; processes whose clocks differ by more than a window mix up neighbouring windows,
     *     which weakens the comparison but moves both versions' counts alike
     */
    public static EvidenceTable of(InstanceId self, long incarnation, InstantSource clock) {
        return new EvidenceTable(self, incarnation, clock);
    }

    /** Returns the number of the window that is open now. */
    public long currentWindow() {
        return Math.floorDiv(clock.millis(), WINDOW.toMillis());
    }

    /** Counts one call of this process. */
    public void record(CallSample sample) {
        EvidenceKey key = new EvidenceKey(sample.service(), sample.version(), sample.route(), sample.zone());
        lock.run(() -> {
            Window window = openWindow(currentWindow());
            CellCounter counter = window.own.get(key);
            if (counter == null) {
                if (window.own.size() >= MAX_CELLS) {
                    dropped++;
                    return;
                }
                counter = new CellCounter();
                window.own.put(key, counter);
            }
            counter.add(sample);
        });
    }

    /** Returns the summaries of the open window and the one before it, to be sent to peers. */
    public List<EvidenceSummary> summaries() {
        return lock.with(() -> {
            long newest = currentWindow();
            List<EvidenceSummary> summaries = new ArrayList<>();
            for (Map.Entry<Long, Window> entry :
                    windows.subMap(newest - SENT_WINDOWS + 1, newest + 1).entrySet()) {
                if (!entry.getValue().own.isEmpty()) {
                    summaries.add(summary(entry.getKey(), entry.getValue()));
                }
            }
            return summaries;
        });
    }

    /**
     * Takes the summary of a peer and returns whether it told anything new; an older or repeated one, one of this
     * process, and one of a window that is no longer kept or lies ahead by more than one are ignored.
     */
    public boolean accept(EvidenceSummary summary) {
        return lock.with(() -> {
            long newest = currentWindow();
            if (summary.source().equals(self)
                    || summary.window() > newest + 1
                    || summary.window() <= newest - RETAINED_WINDOWS
                    || summary.cells().size() > MAX_CELLS) {
                return false;
            }
            Map<Source, EvidenceSummary> peers = openWindow(summary.window()).peers;
            Source source = new Source(summary.source(), summary.incarnation());
            EvidenceSummary known = peers.get(source);
            if (known == null && peers.size() >= MAX_SOURCES) {
                dropped++;
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
     * Returns the evidence of the windows after {@code lastJudged} that are ready to be judged, oldest first.
     *
     * @param lastJudged the number of the last window that was judged
     * @param service the service
     * @param from its old version
     * @param to its new version
     * @param share the share of the new version, as a mark for the judge
     */
    public List<WindowEvidence> closedWindowsAfter(
            long lastJudged, ServiceName service, VersionName from, VersionName to, double share) {
        return lock.with(() -> {
            long firstOpen = Math.floorDiv(clock.millis() - CLOSE_DELAY.toMillis(), WINDOW.toMillis());
            List<WindowEvidence> closed = new ArrayList<>();
            windows.subMap(Math.min(lastJudged + 1, firstOpen), firstOpen).forEach((number, window) -> {
                StrataBuilder pairs = new StrataBuilder(service, from, to);
                window.own.forEach((key, counter) -> pairs.add(key, counter.cell()));
                window.peers.values().forEach(summary -> summary.cells().forEach(pairs::add));
                closed.add(new WindowEvidence(number, share, pairs.strata()));
            });
            return closed;
        });
    }

    /** How many samples and summaries were dropped because the table was full. */
    public long droppedCount() {
        return lock.with(() -> dropped);
    }

    private EvidenceSummary summary(long number, Window window) {
        Map<EvidenceKey, EvidenceCell> cells = new HashMap<>();
        window.own.forEach((key, counter) -> cells.put(key, counter.cell()));
        return new EvidenceSummary(self, incarnation, number, ++sequence, cells);
    }

    private Window openWindow(long number) {
        windows.headMap(currentWindow() - RETAINED_WINDOWS, true).clear();
        return windows.computeIfAbsent(number, ignored -> new Window());
    }
}
