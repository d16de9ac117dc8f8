package coriandersill.idempotency;

/**
 * The claims whose keys fall into one time interval, in an open-addressing hash table of primitives.
 *
 * <p>Not thread-safe; guarded by the lock of {@link IdempotencyTable}. A slot takes 42 bytes; the table grows by half
 * when three quarters of the slots are in use. Slots are never removed individually: the whole segment is dropped when
 * its interval has left the window.
 */
final class ClaimSegment {
    /** The status of an unused slot. */
    static final short EMPTY = 0;
    /** The status of a claim whose call may run. */
    static final short CLAIMED = 1;
    /** The status of a released claim. A completed claim has the HTTP status of its outcome, 100 or more. */
    static final short RELEASED = 2;

    private static final int INITIAL_SLOTS = 64;
    /** The longs of a slot: the upper and the lower half of the key, the fingerprint and the token. */
    private static final int LONGS_PER_SLOT = 4;
    /** The ints of a slot: the workspace index, and the deadline in unsigned seconds since 1970. */
    private static final int INTS_PER_SLOT = 2;

    private long[] longs = new long[INITIAL_SLOTS * LONGS_PER_SLOT];
    private int[] ints = new int[INITIAL_SLOTS * INTS_PER_SLOT];
    private short[] statuses = new short[INITIAL_SLOTS];
    private int size;

    int size() {
        return size;
    }

    /** Returns the slot of a key, or -1 if the key is absent. */
    int find(int workspaceIndex, IdempotencyKey key) {
        int slot = probe(workspaceIndex, key.high(), key.low());
        return statuses[slot] == EMPTY ? -1 : slot;
    }

    /** Adds an absent key, which counts as released until {@link #claim} is called, and returns its slot. */
    int add(int workspaceIndex, IdempotencyKey key, long fingerprint) {
        if ((size + 1) * 4L > statuses.length * 3L) {
            grow();
        }
        int slot = probe(workspaceIndex, key.high(), key.low());
        longs[slot * LONGS_PER_SLOT] = key.high();
        longs[slot * LONGS_PER_SLOT + 1] = key.low();
        longs[slot * LONGS_PER_SLOT + 2] = fingerprint;
        ints[slot * INTS_PER_SLOT] = workspaceIndex;
        statuses[slot] = RELEASED;
        size++;
        return slot;
    }

    long fingerprint(int slot) {
        return longs[slot * LONGS_PER_SLOT + 2];
    }

    long token(int slot) {
        return longs[slot * LONGS_PER_SLOT + 3];
    }

    long deadlineSeconds(int slot) {
        return Integer.toUnsignedLong(ints[slot * INTS_PER_SLOT + 1]);
    }

    short status(int slot) {
        return statuses[slot];
    }

    void claim(int slot, long token, long deadlineSeconds) {
        longs[slot * LONGS_PER_SLOT + 3] = token;
        ints[slot * INTS_PER_SLOT + 1] = (int) deadlineSeconds;
        statuses[slot] = CLAIMED;
    }

    void setStatus(int slot, short status) {
        statuses[slot] = status;
    }

    private int probe(int workspaceIndex, long high, long low) {
        int slots = statuses.length;
        int slot = initialSlot(workspaceIndex, high, low, slots);
        while (statuses[slot] != EMPTY && !matches(slot, workspaceIndex, high, low)) {
            slot = slot + 1 == slots ? 0 : slot + 1;
        }
        return slot;
    }

    private boolean matches(int slot, int workspaceIndex, long high, long low) {
        return longs[slot * LONGS_PER_SLOT] == high
                && longs[slot * LONGS_PER_SLOT + 1] == low
                && ints[slot * INTS_PER_SLOT] == workspaceIndex;
    }

    private static int initialSlot(int workspaceIndex, long high, long low, int slots) {
        long mixed = (high * 31 + low) * 31 + workspaceIndex;
        mixed = (mixed ^ (mixed >>> 32)) * 0x9e3779b97f4a7c15L;
        mixed = (mixed ^ (mixed >>> 29)) * 0xbf58476d1ce4e5b9L;
        return (int) (((mixed >>> 32) * slots) >>> 32);
    }

    private void grow() {
        long[] oldLongs = longs;
        int[] oldInts = ints;
        short[] oldStatuses = statuses;
        int slots = Math.addExact(oldStatuses.length, oldStatuses.length / 2);
        longs = new long[slots * LONGS_PER_SLOT];
        ints = new int[slots * INTS_PER_SLOT];
        statuses = new short[slots];
        for (int old = 0; old < oldStatuses.length; old++) {
            if (oldStatuses[old] != EMPTY) {
                int slot = probe(
                        oldInts[old * INTS_PER_SLOT],
                        oldLongs[old * LONGS_PER_SLOT],
                        oldLongs[old * LONGS_PER_SLOT + 1]);
                System.arraycopy(oldLongs, old * LONGS_PER_SLOT, longs, slot * LONGS_PER_SLOT, LONGS_PER_SLOT);
                System.arraycopy(oldInts, old * INTS_PER_SLOT, ints, slot * INTS_PER_SLOT, INTS_PER_SLOT);
                statuses[slot] = oldStatuses[old];
            }
        }
    }
}
