package coriandersill.configuration;

import java.time.Duration;

/**
 * Determines when a snapshot of the accepted state is published.
 *
 * @param interval the age of the last complete snapshot at which the next is due; well below the log's retention
 * @param maxRecords the number of records since the last complete snapshot at which the next is due
 * @param maxJitter the maximum random delay that each process adds, so that the first snapshot published suppresses
 *     those of the other processes
 * @param minRestartDelay the minimum delay from a restart of the stream's offsets to the snapshot for the next epoch,
 *     so that processes first obtain the newest state from their peers; each process adds a random delay of up to the
 *     same length
 */
public record SnapshotPolicy(Duration interval, int maxRecords, Duration maxJitter, Duration minRestartDelay) {

    /** Checks the ranges; throws {@link IllegalArgumentException}. */
    public SnapshotPolicy {
        if (interval.isNegative() || interval.isZero() || maxRecords < 1 || maxJitter.isNegative()) {
            throw new IllegalArgumentException(
                    "snapshot policy: expected interval > 0, maxRecords >= 1 and maxJitter >= 0, found " + interval
                            + ", " + maxRecords + " and " + maxJitter);
        }
    }

    /**
     * Returns a policy for a log that keeps records for {@code retention}: a snapshot is due after a quarter of it,
     * with a jitter of a sixteenth, or after 1,000 records.
     */
    public static SnapshotPolicy forRetention(Duration retention) {
        return new SnapshotPolicy(retention.dividedBy(4), 1_000, retention.dividedBy(16), Duration.ofSeconds(10));
    }
}
