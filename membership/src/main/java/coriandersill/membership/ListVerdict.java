package coriandersill.membership;

import java.util.List;

/**
 * What became of one reading of the list of instances.
 *
 * @param doubt why instances missing from it were kept; empty when the list was followed
 * @param changes the changes that follow, in order of instance
 */
public record ListVerdict(String doubt, List<MemberChange> changes) {

    /** Copies the changes. */
    public ListVerdict {
        changes = List.copyOf(changes);
    }

    /** Whether the list was followed in full. */
    public boolean followed() {
        return doubt.isEmpty();
    }
}
