package coriandersill.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;

/**
 * Decides when this process publishes a snapshot, immutable: each event gives the next schedule.
 *
 * <p>Every process keeps one. The first whose random wait ends publishes; when the others see its first part, they hold
 * theirs back, and begin again if the snapshot does not become complete.
 *
 * @param policy when a snapshot is due
 * @param due when this process publishes, unless it sees another's before
 * @param records the records since the last complete snapshot
 * @param hurried whether the count of records has brought the time forward
 */
public record SnapshotSchedule(SnapshotPolicy policy, Instant due, int records, boolean hurried) {

    /** Returns a schedule for a process that knows of no snapshot yet; it waits for the jitter only. */
    public static SnapshotSchedule starting(SnapshotPolicy policy, Instant now, RandomGenerator random) {
        return new SnapshotSchedule(policy, now.plus(jitter(policy, random)), 0, true);
    }

    /** A complete snapshot was seen, or published by this process, with the log's time {@code at}. */
    public SnapshotSchedule afterSnapshot(Instant at, RandomGenerator random) {
        return new SnapshotSchedule(policy, at.plus(policy.interval()).plus(jitter(policy, random)), 0, false);
    }

    /** A part of another's snapshot was seen: this process waits at least the jitter's span for the rest. */
    public SnapshotSchedule afterPart(Instant now, RandomGenerator random) {
        Instant later = now.plus(policy.jitter()).plus(jitter(policy, random));
        return due.isAfter(later) ? this : new SnapshotSchedule(policy, later, records, hurried);
    }

    /** A record other than a snapshot's was seen. */
    public SnapshotSchedule afterRecord(Instant now, RandomGenerator random) {
        int count = records + 1;
        if (count < policy.changes() || hurried) {
            return new SnapshotSchedule(policy, due, count, hurried);
        }
        Instant soon = now.plus(jitter(policy, random));
        return new SnapshotSchedule(policy, soon.isBefore(due) ? soon : due, count, true);
    }

    /** An append of this process failed: it waits the jitter's span and a random part more. */
    public SnapshotSchedule afterFailure(Instant now, RandomGenerator random) {
        return new SnapshotSchedule(policy, now.plus(policy.jitter()).plus(jitter(policy, random)), records, hurried);
    }

    /** Whether this process publishes now. */
    public boolean isDue(Instant now) {
        return !now.isBefore(due);
    }

    private static Duration jitter(SnapshotPolicy policy, RandomGenerator random) {
        return Duration.ofNanos((long) (random.nextDouble() * policy.jitter().toNanos()));
    }
}
