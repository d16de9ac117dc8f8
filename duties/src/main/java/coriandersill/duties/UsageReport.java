package coriandersill.duties;

import coriandersill.core.WorkspaceName;
import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The report of a window, whose content never changes once it is stored.
 *
 * @param window the number of the window
 * @param counts the requests begun for each workspace that has any, at least 1 each
 */
public record UsageReport(long window, SortedMap<WorkspaceName, Long> counts) {

    /** Copies the counts. */
    public UsageReport {
        counts = Collections.unmodifiableSortedMap(new TreeMap<>(counts));
    }

    /** Returns a report with the counts that are at least 1. */
    public static UsageReport of(long window, Map<WorkspaceName, Long> counts) {
        SortedMap<WorkspaceName, Long> positive = new TreeMap<>();
        counts.forEach((name, count) -> {
            if (count > 0) {
                positive.put(name, count);
            }
        });
        return new UsageReport(window, positive);
    }
}
