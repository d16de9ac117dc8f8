package coriandersill.admission;

/**
 * An upper bound on the number of running calls that adapts to the time between tokens.
 *
 * <p>Implementations need not be thread-safe; the caller's lock guards them.
 */
public interface ConcurrencyCeiling {

    /** Returns the number of calls that may run concurrently now. */
    int ceiling();

    /**
     * Records the time between two tokens of a call.
     *
     * @param nowNanos the time of the later token
     * @param interTokenNanos the time since the earlier token
     * @param running the number of running calls
     */
    void recordInterTokenLatency(long nowNanos, long interTokenNanos, int running);

    /** Returns a constant ceiling. */
    static ConcurrencyCeiling fixed(int ceiling) {
        return new ConcurrencyCeiling() {
            @Override
            public int ceiling() {
                return ceiling;
            }

            @Override
            public void recordInterTokenLatency(long nowNanos, long interTokenNanos, int running) {
                // The ceiling is constant.
            }
        };
    }
}
