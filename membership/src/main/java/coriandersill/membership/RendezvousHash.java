package coriandersill.membership;

/** Hashes of names for rendezvous hashing: the same in every process, and with well-mixed bits. */
final class RendezvousHash {
    private RendezvousHash() {}

    /** Returns the 64-bit FNV-1a hash of the UTF-16 code units of {@code text}, with its bits mixed further. */
    static long of(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(hash);
    }

    /** Returns the score of a pair of hashes: symmetric and never negative. */
    static long score(long one, long other) {
        return mix(one + other) >>> 1;
    }

    /** Applies the 64-bit finalizer of MurmurHash3. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
