package coriandersill.admission;

/**
 * A ceiling on the running calls that follows the time between tokens.
 *
 * <p>Implementations are not safe for use by many threads; the holder's lock guards them.
 */
public interface ConcurrencyCeiling {

    /** The calls that may run together now. */
    int ceiling();

    /** Notes that a token took {@code gapNanos} after the one before it, at {@code nowNanos}, with so many running. */
    void recordInterTokenLatency(long nowNanos, long gapNanos, int running);

    /** Returns a ceiling that never moves. */
    static ConcurrencyCeiling fixed(int ceiling) {
        return new ConcurrencyCeiling() {
            @Override
            public int ceiling() {
                return ceiling;
            }

            @Override
            public void recordInterTokenLatency(long nowNanos, long gapNanos, int running) {
                // The ceiling does not depend on gaps.
            }
        };
    }
}
