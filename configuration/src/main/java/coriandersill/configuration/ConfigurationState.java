package coriandersill.configuration;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The state of one process after reading part of the configuration stream. Immutable.
 *
 * @param origin where the accepted state came from, which determines whether it is complete
 * @param accepted the accepted state
 * @param pending records that cannot be decided yet, such as records after a gap, in order of offset
 * @param partialSnapshots the chunks read so far of incomplete snapshots, by snapshot id
 */
public record ConfigurationState(
        StateOrigin origin,
        AcceptedState accepted,
        List<PendingRecord> pending,
        Map<String, List<SnapshotChunk>> partialSnapshots) {

    /** Copies the collections; rejects null. */
    public ConfigurationState {
        Objects.requireNonNull(origin, "origin");
        Objects.requireNonNull(accepted, "accepted");
        pending = List.copyOf(pending);
        partialSnapshots = Map.copyOf(partialSnapshots);
    }

    /**
     * A record that cannot be decided until the state before it is known.
     *
     * @param offset the offset of the record in the stream
     * @param record the record
     */
    public record PendingRecord(long offset, ConfigurationRecord record) {}

    /** Returns the state of a process that has read no records. */
    public static ConfigurationState initial() {
        return new ConfigurationState(StateOrigin.NONE, AcceptedState.empty(), List.of(), Map.of());
    }

    /** The position of the last record included in the accepted state. */
    public long position() {
        return accepted.position();
    }

    /** Returns the digest that peers compare to find the newer state; its position is -1 if the state is incomplete. */
    public StateDigest digest() {
        return new StateDigest(origin.isComplete() ? position() : StreamPosition.NONE);
    }

    ConfigurationState withAccepted(StateOrigin newOrigin, AcceptedState newAccepted) {
        return new ConfigurationState(newOrigin, newAccepted, pending, partialSnapshots);
    }

    ConfigurationState withPending(List<PendingRecord> newPending) {
        return new ConfigurationState(origin, accepted, newPending, partialSnapshots);
    }

    ConfigurationState withPartialSnapshots(Map<String, List<SnapshotChunk>> newPartial) {
        return new ConfigurationState(origin, accepted, pending, newPartial);
    }
}
