package coriandersill.rollout;

import coriandersill.core.VersionName;
import java.util.Objects;

/**
 * Splits the requests of a service between two versions by a hash of the affinity key of the request.
 *
 * <pre>{@code
 * TrafficSplit split = TrafficSplit.of(VersionName.of("v1"), VersionName.of("v2"), 0.05);
 * VersionName version = split.versionFor(TrafficSplit.hashOf("workspace-7/prefix-41"));
 * }</pre>
 *
 * <p>Every process with the same share makes the same choice without coordination. Raising the share moves requests
 * only from the old version to the new one, and lowering it only moves them back. Requests with the same key move
 * together, so a session and its cached prefix move once.
 *
 * @param from the version that serves the other keys
 * @param to the version that serves {@code share} of the keys
 * @param share the fraction of the keys served by {@code to}, from 0 to 1
 */
public record TrafficSplit(VersionName from, VersionName to, double share) {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final double TWO_POW_53 = 0x1.0p53;

    /** Throws if a version is null or {@code share} is not from 0 to 1. */
    public TrafficSplit {
        Objects.requireNonNull(from, "from");
        Objects.requireNonNull(to, "to");
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException("share: expected from 0 to 1, found " + share);
        }
    }

    /** Returns a split; throws if a version is null or {@code share} is not from 0 to 1. */
    public static TrafficSplit of(VersionName from, VersionName to, double share) {
        return new TrafficSplit(from, to, share);
    }

    /** Returns the version for a request whose affinity key has the given hash. */
    public VersionName versionFor(long requestHash) {
        return unitPosition(requestHash) < share ? to : from;
    }

    /** Returns the hash of an affinity key, which is the same in every process; the key must not be null. */
    public static long hashOf(String affinityKey) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < affinityKey.length(); i++) {
            hash = (hash ^ affinityKey.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    /** Maps a hash uniformly to the range from 0 (inclusive) to 1 (exclusive). */
    static double unitPosition(long hash) {
        // The finalizer of SplitMix64.
        long mixed = hash;
        mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        mixed ^= mixed >>> 31;
        return (mixed >>> 11) / TWO_POW_53;
    }
}
