package coriandersill.idempotency;

/**
 * Claims of one slice of key time, in an open-addressing table of primitives.
 *
 * <p>Not thread-safe: {@link IdempotencyTable} guards it. A slot takes 42 bytes; the table grows by half when three
 * quarters are in use. Slots are never removed one by one: the whole segment is dropped when its slice has left the
 * window.
 */
final class ClaimSegment {
    /** The status of a free slot. */
    static final short EMPTY = 0;
    /** The status of a claim whose call may run. */
    static final short CLAIMED = 1;
    /** The status of a claim that was given back. */
    static final short RELEASED = 2;

    private static final int INITIAL_SLOTS = 64;
    private static final int LONGS = 4;
    private static final int INTS = 2;

    private long[] longs = new long[INITIAL_SLOTS * LONGS];
    private int[] ints = new int[INITIAL_SLOTS * INTS];
    private short[] statuses = new short[INITIAL_SLOTS];
    private int size;

    int size() {
        return size;
    }

    /** Returns the slot of a key, or -1. */
    int find(int workspace, IdempotencyKey key) {
        int slot = probe(workspace, key.high(), key.low());
        return statuses[slot] == EMPTY ? -1 : slot;
    }

    /** Adds a key that is not there and returns its slot. */
    int add(int workspace, IdempotencyKey key, long fingerprint) {
        if ((size + 1) * 4L > statuses.length * 3L) {
            grow();
        }
        int slot = probe(workspace, key.high(), key.low());
        longs[slot * LONGS] = key.high();
        longs[slot * LONGS + 1] = key.low();
        longs[slot * LONGS + 2] = fingerprint;
        ints[slot * INTS] = workspace;
        statuses[slot] = RELEASED;
        size++;
        return slot;
    }

    long fingerprint(int slot) {
        return longs[slot * LONGS + 2];
    }

    long token(int slot) {
        return longs[slot * LONGS + 3];
    }

    long deadlineSeconds(int slot) {
        return Integer.toUnsignedLong(ints[slot * INTS + 1]);
    }

    short status(int slot) {
        return statuses[slot];
    }

    void claim(int slot, long token, long deadlineSeconds) {
        longs[slot * LONGS + 3] = token;
        ints[slot * INTS + 1] = (int) deadlineSeconds;
        statuses[slot] = CLAIMED;
    }

    void settle(int slot, short status) {
        statuses[slot] = status;
    }

    private int probe(int workspace, long high, long low) {
        int slots = statuses.length;
        int slot = start(workspace, high, low, slots);
        while (statuses[slot] != EMPTY && !holds(slot, workspace, high, low)) {
            slot = slot + 1 == slots ? 0 : slot + 1;
        }
        return slot;
    }

    private boolean holds(int slot, int workspace, long high, long low) {
        return longs[slot * LONGS] == high && longs[slot * LONGS + 1] == low && ints[slot * INTS] == workspace;
    }

    private static int start(int workspace, long high, long low, int slots) {
        long mixed = (high * 31 + low) * 31 + workspace;
        mixed = (mixed ^ (mixed >>> 32)) * 0x9e3779b97f4a7c15L;
        mixed = (mixed ^ (mixed >>> 29)) * 0xbf58476d1ce4e5b9L;
        return (int) (((mixed >>> 32) * slots) >>> 32);
    }

    private void grow() {
        long[] oldLongs = longs;
        int[] oldInts = ints;
        short[] oldStatuses = statuses;
        int slots = Math.addExact(oldStatuses.length, oldStatuses.length / 2);
        longs = new long[slots * LONGS];
        ints = new int[slots * INTS];
        statuses = new short[slots];
        for (int old = 0; old < oldStatuses.length; old++) {
            if (oldStatuses[old] != EMPTY) {
                int slot = probe(oldInts[old * INTS], oldLongs[old * LONGS], oldLongs[old * LONGS + 1]);
                System.arraycopy(oldLongs, old * LONGS, longs, slot * LONGS, LONGS);
                System.arraycopy(oldInts, old * INTS, ints, slot * INTS, INTS);
                statuses[slot] = oldStatuses[old];
            }
        }
    }
}
