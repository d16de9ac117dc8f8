package coriandersill.duties;

import java.util.List;
import java.util.TreeMap;

/**
 * The latest stored reports that this process knows, in case the store is restored from a copy without them. Not
 * thread-safe.
 */
public final class KnownReports {
    /** More windows than a copy of the store is expected to lack. */
    private static final int MAX_REPORTS = 32;

    private final TreeMap<Long, UsageReport> reports = new TreeMap<>();

    private KnownReports() {}

    /** Returns an empty memory. */
    public static KnownReports create() {
        return new KnownReports();
    }

    /** Adds a report; one of its window that is known already stays, since it may have been sent. */
    public void add(UsageReport report) {
        reports.putIfAbsent(report.window(), report);
        if (reports.size() > MAX_REPORTS) {
            reports.pollFirstEntry();
        }
    }

    /** Returns the reports from a window on, by window. */
    public List<UsageReport> from(long window) {
        return List.copyOf(reports.tailMap(window).values());
    }
}
