package coriandersill.membership;

import java.time.Duration;

/**
 * The limits by which a {@link MembershipTable} judges.
 *
 * @param suspectAfter how long heartbeats may be late before an instance gets no new work
 * @param maxShrink the part of the known instances, 0 to 1, that may leave the list at one reading without doubt
 * @param confirmingReads how many readings in a row must miss an instance of a doubted list, or show one as staying
 *     that was leaving, before they are followed
 */
public record MembershipSettings(Duration suspectAfter, double maxShrink, int confirmingReads) {

    /** Refuses values outside their range. */
    public MembershipSettings {
        if (suspectAfter.isNegative()) {
            throw new IllegalArgumentException("suspectAfter: expected zero or more, found " + suspectAfter);
        }
        if (!(maxShrink >= 0 && maxShrink <= 1) || confirmingReads < 1) {
            throw new IllegalArgumentException("maxShrink, confirmingReads: expected 0 to 1 and 1 or more, found "
                    + maxShrink + ", " + confirmingReads);
        }
    }

    /** Returns 3 s, a quarter, and 5 readings. */
    public static MembershipSettings standard() {
        return new MembershipSettings(Duration.ofSeconds(3), 0.25, 5);
    }
}
