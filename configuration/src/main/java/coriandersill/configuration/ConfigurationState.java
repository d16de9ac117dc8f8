package coriandersill.configuration;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * What one process knows of the configuration stream, immutable.
 *
 * @param origin what shows that the accepted state is whole
 * @param accepted the accepted state
 * @param pending records after a gap, in order of offset, that cannot be decided yet
 * @param partialSnapshots the parts seen of snapshots that are not complete, by snapshot id
 */
public record ConfigurationState(
        StateOrigin origin,
        AcceptedState accepted,
        List<PendingRecord> pending,
        Map<String, List<SnapshotChunk>> partialSnapshots) {

    /** Copies the collections; refuses null. */
    public ConfigurationState {
        Objects.requireNonNull(origin, "proof");
        Objects.requireNonNull(accepted, "accepted");
        pending = List.copyOf(pending);
        partialSnapshots = Map.copyOf(partialSnapshots);
    }

    /**
     * A record that waits for the state before it.
     *
     * @param offset its offset
     * @param record the record
     */
    public record PendingRecord(long offset, ConfigurationRecord record) {}

    /** Returns the state of a process that has read nothing. */
    public static ConfigurationState initial() {
        return new ConfigurationState(StateOrigin.NONE, AcceptedState.empty(), List.of(), Map.of());
    }

    /** The last position that is part of the accepted state. */
    public long position() {
        return accepted.position();
    }

    /** Returns what peers compare to learn who has seen more; -1 without proof. */
    public StateDigest digest() {
        return new StateDigest(origin.isComplete() ? position() : StreamPosition.NONE);
    }

    ConfigurationState withAccepted(StateOrigin newProof, AcceptedState newAccepted) {
        return new ConfigurationState(newProof, newAccepted, pending, partialSnapshots);
    }

    ConfigurationState withPending(List<PendingRecord> newHeld) {
        return new ConfigurationState(origin, accepted, newHeld, partialSnapshots);
    }

    ConfigurationState withPartialSnapshots(Map<String, List<SnapshotChunk>> newPartial) {
        return new ConfigurationState(origin, accepted, pending, newPartial);
    }
}
