package coriandersill.rollout;

import coriandersill.core.InstanceId;
import java.util.Map;
import java.util.Objects;

/**
 * The counts of one process in one time window so far.
 *
 * <p>The counts are cumulative within the window, so the summary with the highest sequence number replaces earlier ones
 * of the same source, incarnation and window. A duplicate, late or reordered summary is therefore not counted twice,
 * and a lost one is superseded by the next. If a process crashes, the counts since its last summary are lost.
 *
 * @param source the process
 * @param incarnation distinguishes the process from earlier ones of the same name
 * @param window the number of the time window since the epoch
 * @param sequence increases with each summary of the same window
 * @param cells the counts
 */
public record EvidenceSummary(
        InstanceId source, long incarnation, long window, long sequence, Map<EvidenceKey, EvidenceCell> cells) {

    /** Copies the map; throws {@link NullPointerException} if an object is null. */
    public EvidenceSummary {
        Objects.requireNonNull(source, "source");
        cells = Map.copyOf(cells);
    }
}
