package coriandersill.rollout;

/** Counts the calls of one cell; confined to the lock of its table. */
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
        count(firstToken, sample.firstTokenNanos());
        count(betweenTokens, sample.betweenTokensNanos());
    }

    EvidenceCell cell() {
        return new EvidenceCell(calls, failures, LatencyHistogram.of(firstToken), LatencyHistogram.of(betweenTokens));
    }

    private static void count(int[] counts, long nanos) {
        if (nanos != CallSample.NOT_MEASURED) {
            counts[LatencyHistogram.bucketOf(nanos)]++;
        }
    }
}
