package coriandersill.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;

/**
 * Decides when this process publishes a snapshot. Immutable: each event returns a new schedule.
 *
 * <p>Every process has its own schedule. The process whose random delay ends first publishes. The others postpone their
 * snapshots with each of its chunks that they read, and publish later if that snapshot does not become complete.
 *
 * @param policy the policy that determines when a snapshot is due
 * @param due when this process publishes, unless it reads another process's snapshot before
 * @param recordCount the number of records since the last complete snapshot
 * @param recordCountIgnored whether reaching the maximum record count no longer brings {@code due} forward: either it
 *     already has since the last complete snapshot, or no snapshot has been read yet
 */
public record SnapshotSchedule(SnapshotPolicy policy, Instant due, int recordCount, boolean recordCountIgnored) {

    /** Returns a schedule for a process that has read no snapshot yet: the first is due after the random delay only. */
    public static SnapshotSchedule initial(SnapshotPolicy policy, Instant now, RandomGenerator random) {
        return new SnapshotSchedule(policy, now.plus(randomJitter(policy, random)), 0, true);
    }

    /** Returns the schedule after a complete snapshot was read, or published by this process, at time {@code at}. */
    public SnapshotSchedule afterSnapshot(Instant at, RandomGenerator random) {
        return new SnapshotSchedule(policy, at.plus(policy.interval()).plus(randomJitter(policy, random)), 0, false);
    }

    /**
     * Returns the schedule after a chunk of another process's snapshot was read: this process waits at least the
     * maximum jitter for the remaining chunks.
     */
    public SnapshotSchedule afterChunk(Instant now, RandomGenerator random) {
        Instant later = now.plus(policy.maxJitter()).plus(randomJitter(policy, random));
        return due.isAfter(later) ? this : new SnapshotSchedule(policy, later, recordCount, recordCountIgnored);
    }

    /** Returns the schedule after a record other than a snapshot chunk was read. */
    public SnapshotSchedule afterRecord(Instant now, RandomGenerator random) {
        int count = recordCount + 1;
        if (count < policy.maxRecords() || recordCountIgnored) {
            return new SnapshotSchedule(policy, due, count, recordCountIgnored);
        }
        Instant soon = now.plus(randomJitter(policy, random));
        return new SnapshotSchedule(policy, soon.isBefore(due) ? soon : due, count, true);
    }

    /**
     * Returns the schedule after this process failed to publish: it waits the maximum jitter and a random delay more.
     */
    public SnapshotSchedule afterFailure(Instant now, RandomGenerator random) {
        return new SnapshotSchedule(
                policy,
                now.plus(policy.maxJitter()).plus(randomJitter(policy, random)),
                recordCount,
                recordCountIgnored);
    }

    /** Returns whether this process should publish a snapshot now. */
    public boolean isDue(Instant now) {
        return !now.isBefore(due);
    }

    private static Duration randomJitter(SnapshotPolicy policy, RandomGenerator random) {
        return Duration.ofNanos((long) (random.nextDouble() * policy.maxJitter().toNanos()));
    }
}
