package coriandersill.membership;

import java.util.List;

/**
 * What became of one reading of the list of instances.
 *
 * @param retentionReason why instances missing from it were kept; empty when the list was followed
 * @param changes the changes that follow, in order of instance
 */
public record ListUpdateResult(String retentionReason, List<MemberChange> changes) {

    /** Copies the changes. */
    public ListUpdateResult {
        changes = List.copyOf(changes);
    }

    /** Whether the list was followed in full. */
    public boolean isFullyApplied() {
        return retentionReason.isEmpty();
    }
}
