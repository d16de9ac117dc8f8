package coriandersill.configuration;

import java.time.Duration;

/**
 * When the accepted state is published again.
 *
 * @param interval the age of the last complete snapshot from which the next is due; well below the log's retention
 * @param changes the number of records since the last complete snapshot from which the next is due
 * @param jitter each process waits a random part of this longer, so that the first one's snapshot stops the others
 * @param restartDelay how long a process waits after the stream's offsets have restarted, and up to as long again, so
 *     that processes first take the newest state from one another
 */
public record SnapshotPolicy(Duration interval, int changes, Duration jitter, Duration restartDelay) {

    /** Checks the ranges; throws {@link IllegalArgumentException}. */
    public SnapshotPolicy {
        if (interval.isNegative() || interval.isZero() || changes < 1 || jitter.isNegative()) {
            throw new IllegalArgumentException(
                    "snapshot policy: expected interval > 0, changes >= 1 and jitter >= 0, found " + interval + ", "
                            + changes + " and " + jitter);
        }
    }

    /**
     * Returns a policy for a log that keeps records for {@code retention}: a quarter of it, with as much jitter / 4.
     */
    public static SnapshotPolicy forRetention(Duration retention) {
        return new SnapshotPolicy(retention.dividedBy(4), 1_000, retention.dividedBy(16), Duration.ofSeconds(10));
    }
}
