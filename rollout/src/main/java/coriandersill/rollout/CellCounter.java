package coriandersill.rollout;

/** Mutable counts of one evidence cell; guarded by the lock of the table that owns it. */
final class CellCounter {
    private final int[] firstToken = new int[LatencyHistogram.BUCKETS];
    private final int[] betweenTokens = new int[LatencyHistogram.BUCKETS];
    private long calls;
    private long failures;

    void add(CallSample sample) {
        calls++;
        if (sample.failed()) {
            failures++;
        }
        increment(firstToken, sample.firstTokenNanos());
        increment(betweenTokens, sample.betweenTokensNanos());
    }

    EvidenceCell snapshot() {
        return new EvidenceCell(calls, failures, LatencyHistogram.of(firstToken), LatencyHistogram.of(betweenTokens));
    }

    private static void increment(int[] counts, long nanos) {
        if (nanos != CallSample.NOT_MEASURED) {
            counts[LatencyHistogram.bucketOf(nanos)]++;
        }
    }
}
