package coriandersill.duties;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The stored reports that are still to be sent, and in which order: those whose time is not over first, then by window.
 * Not thread-safe.
 */
public final class ReportQueue {
    /** Maximum number of reports that wait; older ones are dropped. */
    private static final int MAX_REPORTS = 16;

    private final UsageWindows windows;
    private final TreeMap<Long, UsageReport> waiting = new TreeMap<>();

    private ReportQueue(UsageWindows windows) {
        this.windows = windows;
    }

    /** Returns an empty queue. */
    public static ReportQueue create(UsageWindows windows) {
        return new ReportQueue(windows);
    }

    /** Adds a report; a report of its window that waits already stays. Drops the oldest report of too many. */
    public void add(UsageReport report) {
        waiting.putIfAbsent(report.window(), report);
        if (waiting.size() > MAX_REPORTS) {
            waiting.pollFirstEntry();
        }
    }

    /** Removes all reports. */
    public void clear() {
        waiting.clear();
    }

    /** Removes the report of a window, which was delivered. */
    public void delivered(long window) {
        waiting.remove(window);
    }

    /** Returns the report to send next at a true time; a report that is late is better than none. */
    public Optional<UsageReport> next(long nowMillis) {
        return waiting.values().stream()
                .filter(report -> nowMillis < windows.dueMillis(report.window()))
                .findFirst()
                .or(() -> Optional.ofNullable(waiting.firstEntry()).map(Map.Entry::getValue));
    }

    /** Returns the number of reports that wait. */
    public int size() {
        return waiting.size();
    }
}
