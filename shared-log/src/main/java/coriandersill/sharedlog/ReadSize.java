package coriandersill.sharedlog;

/**
 * The number of records that a follower asks for: fewer after a failed read, in case the response was too large.
 *
 * <p>A failed read halves it. Since most reads fail for another reason, the one after a success asks for the maximum
 * again; if that fails, the number that succeeded is kept until the end of the stream. Used by one thread at a time.
 */
final class ReadSize {
    private final int maxRecords;
    private volatile int records;

    /** The number of the last read that succeeded with fewer records than the maximum; 0 if there is none. */
    private int sufficientRecords;

    private boolean keepsSize;

    ReadSize(int maxRecords) {
        this.maxRecords = maxRecords;
        this.records = maxRecords;
    }

    int records() {
        return records;
    }

    void onFailure() {
        keepsSize = sufficientRecords > 0;
        records = records > sufficientRecords && keepsSize ? sufficientRecords : Math.max(1, records / 2);
    }

    void onSuccess() {
        if (records < maxRecords) {
            sufficientRecords = records;
            records = keepsSize ? records : maxRecords;
        }
    }

    void onEndReached() {
        records = maxRecords;
        sufficientRecords = 0;
        keepsSize = false;
    }
}
