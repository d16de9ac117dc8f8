package coriandersill.duties;

import coriandersill.core.InstanceId;
import coriandersill.core.WorkspaceName;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The counts of all entries by window, as the holder of the duty collects them, and which window is complete.
 *
 * <p>An entry states the sum so far of a window again and again; the latest statement replaces the one before, so one
 * that is lost or repeated changes nothing. A process that restarts begins anew, and its sums are added to those of the
 * process before. Not thread-safe.
 */
public final class UsageLedger {
    /** How long after the end of a window its counts are asked for, so that edges are over on all machines. */
    private static final long SETTLE_MILLIS = 150;

    /** The part of the time until a report is due for which counts of entries that do not answer are waited for. */
    private static final double WAIT_FRACTION = 0.5;

    /** How long a new holder waits for the first answers of entries, whatever is due. */
    private static final long FIRST_ANSWERS_MILLIS = 1_500;

    /** The maximum number of windows in a question; those after them are asked for later. */
    private static final int MAX_WANTED = 128;

    /** The maximum count, so that it is exact in a JSON number and a stored report can be read again. */
    private static final long MAX_COUNT = (1L << 53) - 1;

    private final UsageWindows windows;
    private final TreeMap<Long, Window> open = new TreeMap<>();
    private long next;
    private long beganMillis;

    private static final class Window {
        private final Map<ProcessIdentity, Map<WorkspaceName, Long>> counts = new HashMap<>();
        private final Set<InstanceId> complete = new HashSet<>();
        private UsageReport known;
    }

    private UsageLedger(UsageWindows windows) {
        this.windows = windows;
    }

    /** Returns a ledger without counts. */
    public static UsageLedger create(UsageWindows windows) {
        return new UsageLedger(windows);
    }

    /**
     * Begins with the window {@code firstWindow}, or the first of which counts are still kept, and forgets all counts.
     *
     * @param nowMillis the true time
     */
    public void begin(long firstWindow, long nowMillis) {
        open.clear();
        next = Math.max(firstWindow, windows.numberAt(nowMillis - windows.keptMillis()) + 1);
        beganMillis = nowMillis;
    }

    /** Returns the first window whose report is not stored. */
    public long nextWindow() {
        return next;
    }

    /** Returns the windows that have begun at this time and of which an entry's counts are not complete. */
    public Set<Long> wanted(InstanceId entry, long nowMillis) {
        Set<Long> wanted = new HashSet<>();
        for (long number = next; windows.startMillis(number) < nowMillis && number - next < MAX_WANTED; number++) {
            Window window = open.get(number);
            if (window == null || (window.known == null && !window.complete.contains(entry))) {
                wanted.add(number);
            }
        }
        return wanted;
    }

    /** Returns whether a statement that is asked for at this time covers the whole window. */
    public boolean isOver(long number, long nowMillis) {
        return nowMillis >= windows.endMillis(number) + SETTLE_MILLIS;
    }

    /** Records the sum of a process for a window; {@code complete} if it was asked for after the window's end. */
    public void record(ProcessIdentity entry, long number, Map<WorkspaceName, Long> counts, boolean complete) {
        if (number < next) {
            return;
        }
        Window window = open.computeIfAbsent(number, ignored -> new Window());
        if (complete || !window.complete.contains(entry.name())) {
            window.counts.put(entry, Map.copyOf(counts));
        }
        if (complete) {
            window.complete.add(entry.name());
        }
    }

    /** Records a report that was stored before the store was restored from a copy without it; it stays as it was. */
    public void recordKnown(UsageReport report) {
        if (report.window() >= next) {
            open.computeIfAbsent(report.window(), ignored -> new Window()).known = report;
        }
    }

    /**
     * Returns the report of the next window if all that is expected was said, or if there is no time to wait for more.
     *
     * @param expected the entries that are expected to state their counts
     * @param nowMillis the true time
     */
    public Optional<UsageReport> nextReport(Set<InstanceId> expected, long nowMillis) {
        if (!isOver(next, nowMillis)) {
            return Optional.empty();
        }
        Window window = open.computeIfAbsent(next, ignored -> new Window());
        long latest = Math.max(
                windows.endMillis(next) + (long) (windows.reportDelay().toMillis() * WAIT_FRACTION),
                beganMillis + FIRST_ANSWERS_MILLIS);
        if (nowMillis < latest && !window.complete.containsAll(expected)) {
            return Optional.empty();
        }
        if (window.known != null) {
            return Optional.of(window.known);
        }
        Map<WorkspaceName, Long> sums = new HashMap<>();
        window.counts
                .values()
                .forEach(counts -> counts.forEach(
                        (name, count) -> sums.merge(name, Math.min(count, MAX_COUNT), UsageLedger::addWithinMaximum)));
        return Optional.of(UsageReport.of(next, sums));
    }

    /** Returns the expected entries whose counts of the next window are not complete. */
    public Set<InstanceId> missing(Set<InstanceId> expected) {
        Set<InstanceId> missing = new HashSet<>(expected);
        Window window = open.get(next);
        if (window != null) {
            missing.removeAll(window.complete);
        }
        return missing;
    }

    private static long addWithinMaximum(long first, long second) {
        return Math.min(first + second, MAX_COUNT);
    }

    /** Records that the report of a window, and those of all windows before, are stored. */
    public void stored(long number) {
        if (number >= next) {
            next = number + 1;
            open.headMap(next).clear();
        }
    }
}
