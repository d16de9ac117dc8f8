package coriandersill.membership;

import java.time.Duration;

/**
 * The thresholds by which a {@link MembershipTable} determines the states of instances.
 *
 * @param suspectTimeout the time without a heartbeat after which an instance receives no new work
 * @param maxMissingFraction the fraction of the listed instances, 0 to 1, that may be missing from one reading of the
 *     list; if more are missing, they are retained
 * @param confirmingReadings the number of consecutive readings that confirm a change: a retained instance is removed
 *     after it was missing from that many, and one marked as leaving is no longer so after that many without the mark
 */
public record MembershipSettings(Duration suspectTimeout, double maxMissingFraction, int confirmingReadings) {

    /** Rejects values out of range. */
    public MembershipSettings {
        if (suspectTimeout.isNegative()) {
            throw new IllegalArgumentException("suspectTimeout: expected zero or more, found " + suspectTimeout);
        }
        if (!(maxMissingFraction >= 0 && maxMissingFraction <= 1)) {
            throw new IllegalArgumentException("maxMissingFraction: expected 0 to 1, found " + maxMissingFraction);
        }
        if (confirmingReadings < 1) {
            throw new IllegalArgumentException("confirmingReadings: expected 1 or more, found " + confirmingReadings);
        }
    }

    /** Returns the default settings: 3 s, a quarter of the listed instances, and 5 readings. */
    public static MembershipSettings standard() {
        return new MembershipSettings(Duration.ofSeconds(3), 0.25, 5);
    }
}
