package coriandersill.configuration;

import coriandersill.configuration.ConfigurationState.PendingRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Decides which change sets are accepted: a pure function over the records of the configuration stream in log order.
 *
 * <pre>{@code
 * ConfigurationFold fold = ConfigurationFold.of(StandardRule.all());
 * ConfigurationFold.Result result = fold.fold(state, record.offset(), decoded);
 * state = result.state();
 * }</pre>
 *
 * <p>A process that has read every record from the beginning, or that began from a snapshot or a peer's state, reaches
 * the same verdict on each change set. A record after a gap is held undecided until a snapshot or a peer gives the
 * state before it. Versions are compared at the moment of reading: a snapshot that is not newer than the accepted state
 * changes nothing, however late it is appended.
 */
public final class ConfigurationFold {
    /** The version of the document rules that this fold knows; a change set for a later one is held undecided. */
    public static final int SCHEMA = 1;

    /** The most records that are held undecided; the oldest are dropped, and only a snapshot or a peer helps then. */
    static final int MAX_PENDING_RECORDS = 4096;

    private final RecordEvaluator evaluator;
    private final SnapshotAssembler snapshots = new SnapshotAssembler();

    private ConfigurationFold(ConfigurationValidator validator) {
        this.evaluator = new RecordEvaluator(validator);
    }

    /** Returns a fold that refuses change sets in which {@code validator} finds problems; null is refused. */
    public static ConfigurationFold of(ConfigurationValidator validator) {
        return new ConfigurationFold(Objects.requireNonNull(validator, "validator"));
    }

    /**
     * The outcome of one step.
     *
     * @param state the state after it
     * @param verdict the verdict on the record
     * @param decided the change sets that the step decided, held ones included, in order
     */
    public record Result(ConfigurationState state, Verdict verdict, List<HistoryEntry> decided) {

        /** Copies the list. */
        public Result {
            decided = List.copyOf(decided);
        }
    }

    /** Takes the record at {@code offset}. */
    public Result fold(ConfigurationState state, long offset, ConfigurationRecord record) {
        if (record instanceof SnapshotChunk chunk && snapshots.useful(state, chunk)) {
            return foldUsefulChunk(state, offset, chunk);
        }
        return foldInOrder(state, offset, record);
    }

    /** Takes a peer's state; it changes nothing unless its position is later than the own one. */
    public Result importPeer(ConfigurationState state, PeerState peer) {
        Optional<AcceptedState> reached =
                peer.appliedTo(state.accepted(), state.origin().isComplete());
        if (reached.isEmpty()) {
            return new Result(
                    state, new Verdict.Ignored("the peer's state is not newer or does not connect"), List.of());
        }
        return adopt(state, reached.get(), StateOrigin.PEER);
    }

    private Result foldUsefulChunk(ConfigurationState state, long offset, SnapshotChunk chunk) {
        ConfigurationState collected = snapshots.collect(state, chunk);
        Optional<AcceptedState> complete = snapshots.complete(collected, chunk);
        if (complete.isEmpty()) {
            return foldInOrder(collected, offset, chunk);
        }
        AcceptedState snapshot = complete.get();
        ConfigurationState cleared = snapshots.forget(collected, chunk);
        if (chunk.epoch() > StreamPosition.epoch(snapshot.position())) {
            return adopt(cleared, snapshot.at(StreamPosition.of(chunk.epoch(), offset)), StateOrigin.SNAPSHOT);
        }
        ConfigurationState withChunk = cleared;
        if (StreamPosition.epoch(state.position()) == chunk.epoch()) {
            withChunk = foldInOrder(cleared, offset, chunk).state();
        }
        return adopt(withChunk, snapshot, StateOrigin.SNAPSHOT);
    }

    private Result foldInOrder(ConfigurationState state, long offset, ConfigurationRecord record) {
        long position = StreamPosition.of(StreamPosition.epoch(state.position()), offset);
        if (position <= state.position()) {
            return new Result(state, new Verdict.Ignored("offset " + offset + " is part of the state"), List.of());
        }
        boolean next = position == state.position() + 1 && state.pending().isEmpty();
        if (!next || newerSchema(record)) {
            return hold(state, offset, record);
        }
        RecordEvaluator.Evaluation step = evaluator.evaluate(state.accepted(), position, record);
        StateOrigin proof = state.origin().isComplete() ? state.origin() : StateOrigin.BEGINNING;
        List<HistoryEntry> decided = step.entry().map(List::of).orElse(List.of());
        return new Result(state.withAccepted(proof, step.state()), step.verdict(), decided);
    }

    private static Result hold(ConfigurationState state, long offset, ConfigurationRecord record) {
        List<PendingRecord> held = new ArrayList<>(state.pending());
        if (!held.isEmpty() && held.get(held.size() - 1).offset() >= offset) {
            return new Result(state, new Verdict.Ignored("offset " + offset + " is held already"), List.of());
        }
        boolean snapshot = record instanceof SnapshotChunk;
        held.add(new PendingRecord(offset, snapshot ? new ConfigurationRecord.Unknown("snapshot") : record));
        if (held.size() > MAX_PENDING_RECORDS) {
            held.remove(0);
        }
        String reason = newerSchema(record) ? "its schema is newer" : "records before it were not seen";
        return new Result(state.withPending(held), new Verdict.Undecided(state.position(), reason), List.of());
    }

    private Result adopt(ConfigurationState state, AcceptedState reached, StateOrigin proof) {
        long epoch = StreamPosition.epoch(reached.position());
        boolean sameEpoch = epoch == StreamPosition.epoch(state.position());
        List<HistoryEntry> decided = new ArrayList<>(newEntries(state.accepted(), reached));
        AcceptedState accepted = reached;
        int used = 0;
        List<PendingRecord> held = sameEpoch ? state.pending() : List.of();
        while (used < held.size()) {
            PendingRecord next = held.get(used);
            long position = StreamPosition.of(epoch, next.offset());
            if (position > accepted.position()) {
                if (position != accepted.position() + 1 || newerSchema(next.record())) {
                    break;
                }
                RecordEvaluator.Evaluation step = evaluator.evaluate(accepted, position, next.record());
                accepted = step.state();
                step.entry().ifPresent(decided::add);
            }
            used++;
        }
        List<PendingRecord> left = held.subList(used, held.size());
        boolean whole = proof == StateOrigin.PEER || left.isEmpty();
        StateOrigin reachedProof = state.origin().isComplete() || !whole ? state.origin() : proof;
        ConfigurationState after = state.withAccepted(reachedProof, accepted).withPending(left);
        return new Result(after, new Verdict.Adopted(state.position(), accepted.position()), decided);
    }

    private static List<HistoryEntry> newEntries(AcceptedState before, AcceptedState after) {
        return after.history().stream()
                .filter(entry -> entry.position() > before.position())
                .toList();
    }

    private static boolean newerSchema(ConfigurationRecord record) {
        return record instanceof ChangeSet change && change.schema() > SCHEMA;
    }
}
