package coriandersill.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A complete accepted state, or the changes to it since a position, as sent from one process to another.
 *
 * @param since the position that the receiver must have reached; -1 if {@code accepted} is the full state
 * @param accepted the documents and history entries changed after {@code since}, at the sender's position
 * @param removed the documents deleted after {@code since}; empty for a full state
 */
public record PeerState(long since, AcceptedState accepted, Set<DocumentName> removed) {

    /** Copies the removed names; rejects null. */
    public PeerState {
        Objects.requireNonNull(accepted, "accepted");
        removed = Set.copyOf(removed);
    }

    /** Returns a peer state that contains all of {@code state}. */
    public static PeerState full(AcceptedState state) {
        return new PeerState(StreamPosition.NONE, state, Set.of());
    }

    /**
     * Returns the changes made after {@code since}, or the full state if the history does not reach back that far or
     * {@code since} belongs to another epoch.
     */
    public static PeerState changesSince(long since, AcceptedState state) {
        boolean sameEpoch = StreamPosition.epoch(since) == StreamPosition.epoch(state.position());
        if (since < 0 || since < state.historyFloor() || since > state.position() || !sameEpoch) {
            return full(state);
        }
        List<HistoryEntry> entries = state.history().stream()
                .filter(entry -> entry.position() > since)
                .toList();
        Map<DocumentName, VersionedDocument> changed = state.documents().entrySet().stream()
                .filter(entry -> entry.getValue().version() > since)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        Set<DocumentName> removed = entries.stream()
                .filter(HistoryEntry::accepted)
                .flatMap(entry -> entry.documents().stream())
                .filter(name -> !state.documents().containsKey(name))
                .collect(Collectors.toSet());
        AcceptedState delta = new AcceptedState(state.position(), changed, entries, state.historyFloor());
        return new PeerState(since, delta, removed);
    }

    /**
     * Returns the state of a receiver after applying this to its state {@code own}; empty if this is not newer, or if
     * it is a delta whose base the receiver has not reached or that belongs to another epoch.
     *
     * @param complete whether {@code own} is complete, which a delta requires
     */
    Optional<AcceptedState> applyTo(AcceptedState own, boolean complete) {
        if (accepted.position() <= own.position()) {
            return Optional.empty();
        }
        if (since == StreamPosition.NONE) {
            return Optional.of(accepted);
        }
        boolean sameEpoch = StreamPosition.epoch(own.position()) == StreamPosition.epoch(accepted.position());
        if (!complete || own.position() < since || !sameEpoch) {
            return Optional.empty();
        }
        Map<DocumentName, VersionedDocument> documents = new HashMap<>(own.documents());
        documents.putAll(accepted.documents());
        documents.keySet().removeAll(removed);
        List<HistoryEntry> newer = new ArrayList<>(accepted.history());
        newer.removeIf(entry -> entry.position() <= own.position());
        return Optional.of(own.withHistory(accepted.position(), documents, newer));
    }
}
