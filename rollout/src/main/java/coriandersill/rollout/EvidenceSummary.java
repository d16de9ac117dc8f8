package coriandersill.rollout;

import coriandersill.core.InstanceId;
import java.util.Map;
import java.util.Objects;

/**
 * What one process counted in one time window so far.
 *
 * <p>The counts are cumulative within the window, so the summary with the highest sequence replaces the earlier ones of
 * the same source, incarnation and window: a repeated, late or crossed summary is not counted twice, a lost one is
 * covered by the next. A process that dies loses what it counted since its last summary.
 *
 * @param source the process
 * @param incarnation tells the process from an earlier one of the same name
 * @param window the number of the time window since the epoch
 * @param sequence grows with each summary of the same window
 * @param cells the counts
 */
public record EvidenceSummary(
        InstanceId source, long incarnation, long window, long sequence, Map<EvidenceKey, EvidenceCell> cells) {

    /** Copies the map; refuses null. */
    public EvidenceSummary {
        Objects.requireNonNull(source, "source");
        cells = Map.copyOf(cells);
    }
}
