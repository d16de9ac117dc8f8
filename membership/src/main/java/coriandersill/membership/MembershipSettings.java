package coriandersill.membership;

import java.time.Duration;

/**
 * The thresholds by which a {@link MembershipTable} determines the states of instances.
 *
 * @param suspectAfter the time without a heartbeat after which an instance receives no new work
 * @param maxShrink the fraction of the listed instances, 0 to 1, that may disappear in one reading of the list before
 *     missing instances are retained
 * @param confirmingReads the number of consecutive readings that must lack an instance that is retained, or no longer
 *     mark as leaving one that was, before the change is applied
 */
public record MembershipSettings(Duration suspectAfter, double maxShrink, int confirmingReads) {

    /** Rejects values out of range. */
    public MembershipSettings {
        if (suspectAfter.isNegative()) {
            throw new IllegalArgumentException("suspectAfter: expected zero or more, found " + suspectAfter);
        }
        if (!(maxShrink >= 0 && maxShrink <= 1) || confirmingReads < 1) {
            throw new IllegalArgumentException("maxShrink, confirmingReads: expected 0 to 1 and 1 or more, found "
                    + maxShrink + ", " + confirmingReads);
        }
    }

    /** Returns the default settings: 3 s, a quarter of the listed instances, and 5 readings. */
    public static MembershipSettings standard() {
        return new MembershipSettings(Duration.ofSeconds(3), 0.25, 5);
    }
}
