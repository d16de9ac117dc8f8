package coriandersill.rollout;

/** Mutable counts of one evidence cell; guarded by the lock of the table that owns it. */
final class CellCounter {
    private final int[] firstTokenCounts = new int[LatencyHistogram.BUCKETS];
    private final int[] betweenTokensCounts = new int[LatencyHistogram.BUCKETS];
    private long calls;
    private long failures;

    void add(CallSample sample) {
        calls++;
        if (sample.failed()) {
            failures++;
        }
        increment(firstTokenCounts, sample.firstTokenNanos());
        increment(betweenTokensCounts, sample.betweenTokensNanos());
    }

    /** Adds a latency of a call that is counted already. */
    void addBetweenTokens(long nanos) {
        increment(betweenTokensCounts, nanos);
    }

    EvidenceCell snapshot() {
        return new EvidenceCell(
                calls, failures, LatencyHistogram.of(firstTokenCounts), LatencyHistogram.of(betweenTokensCounts));
    }

    private static void increment(int[] counts, long nanos) {
        if (nanos != CallSample.NOT_MEASURED) {
            counts[LatencyHistogram.bucketOf(nanos)]++;
        }
    }
}
