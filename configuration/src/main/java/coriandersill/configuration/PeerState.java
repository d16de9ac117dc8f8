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
 * A proven state, or what changed in it since a position, as one process gives it to another.
 *
 * @param since the position that the receiver must have reached; -1 when {@code accepted} is the whole state
 * @param accepted the documents and history entries after {@code since}, at the giver's position
 * @param removed the documents that were deleted after {@code since}; empty for a whole state
 */
public record PeerState(long since, AcceptedState accepted, Set<DocumentName> removed) {

    /** Copies the names; refuses null. */
    public PeerState {
        Objects.requireNonNull(accepted, "accepted");
        removed = Set.copyOf(removed);
    }

    /** Returns the whole state. */
    public static PeerState full(AcceptedState state) {
        return new PeerState(StreamPosition.NONE, state, Set.of());
    }

    /**
     * Returns what changed after {@code since}, or the whole state when the history does not reach back that far or
     * {@code since} lies in another epoch.
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
        AcceptedState part = new AcceptedState(state.position(), changed, entries, state.historyFloor());
        return new PeerState(since, part, removed);
    }

    /** Returns the state that a receiver at {@code own} reaches; empty when this is no newer or does not connect. */
    Optional<AcceptedState> appliedTo(AcceptedState own, boolean proven) {
        if (accepted.position() <= own.position()) {
            return Optional.empty();
        }
        if (since == StreamPosition.NONE) {
            return Optional.of(accepted);
        }
        boolean sameEpoch = StreamPosition.epoch(own.position()) == StreamPosition.epoch(accepted.position());
        if (!proven || own.position() < since || !sameEpoch) {
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
