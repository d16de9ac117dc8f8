package coriandersill.rollout;

import coriandersill.core.VersionName;
import java.util.Objects;

/**
 * Divides the requests of a service between two versions by a hash of the request's affinity key.
 *
 * <pre>{@code
 * TrafficSplit split = TrafficSplit.of(VersionName.of("v1"), VersionName.of("v2"), 0.05);
 * VersionName version = split.versionFor(TrafficSplit.hashOf("workspace-7/prefix-41"));
 * }</pre>
 *
 * <p>Every process that knows the same share answers alike, without messages. Raising the share moves requests only
 * from the old version to the new one; lowering it moves them only back. Requests with the same key move together, so a
 * session and its cached prefix move once.
 *
 * @param from the version that serves what is not moved
 * @param to the version that serves the share
 * @param share the share of the keys that goes to {@code to}, from 0 to 1
 */
public record TrafficSplit(VersionName from, VersionName to, double share) {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final double TWO_POW_53 = 0x1.0p53;

    /** Refuses null and a share outside 0 to 1. */
    public TrafficSplit {
        Objects.requireNonNull(from, "from");
        Objects.requireNonNull(to, "to");
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException("share: expected from 0 to 1, found " + share);
        }
    }

    /** Returns the split; null and a share outside 0 to 1 are refused. */
    public static TrafficSplit of(VersionName from, VersionName to, double share) {
        return new TrafficSplit(from, to, share);
    }

    /** Returns the version for a request with this hash of its affinity key. */
    public VersionName versionFor(long requestHash) {
        return position(requestHash) < share ? to : from;
    }

    /** Returns a hash of an affinity key that is the same in every process; null is refused. */
    public static long hashOf(String affinityKey) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < affinityKey.length(); i++) {
            hash = (hash ^ affinityKey.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    /** Returns the place of a hash in the range from 0 (inclusive) to 1 (exclusive). */
    static double position(long hash) {
        long mixed = hash;
        mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        mixed ^= mixed >>> 31;
        return (mixed >>> 11) / TWO_POW_53;
    }
}
