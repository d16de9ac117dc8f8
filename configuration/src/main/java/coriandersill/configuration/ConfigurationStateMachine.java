package coriandersill.configuration;

import coriandersill.configuration.ConfigurationState.PendingRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Decides which change sets are accepted by applying the records of the configuration stream, in log order, to a
 * {@link ConfigurationState}. Each step is a pure function of the state and the record.
 *
 * <pre>{@code
 * ConfigurationStateMachine machine = ConfigurationStateMachine.of(StandardRule.all());
 * ConfigurationStateMachine.Result result = machine.apply(state, record.offset(), decoded);
 * state = result.state();
 * }</pre>
 *
 * <p>All processes reach the same verdict on a change set, whether they have read every record from the beginning or
 * started from a snapshot or a peer's state. A record after a gap stays undecided until a snapshot or a peer supplies
 * the state before it. A snapshot is compared with the accepted state when it is read: if it is not newer, it changes
 * nothing, however late it was appended.
 */
public final class ConfigurationStateMachine {
    /** The supported version of the document rules; a change set written for a later version stays undecided. */
    public static final int SCHEMA = 1;

    /**
     * The maximum number of undecided records. Beyond it the oldest are dropped, after which only a snapshot or a
     * peer's state that includes them lets the process catch up.
     */
    static final int MAX_PENDING_RECORDS = 4096;

    private final RecordEvaluator evaluator;
    private final SnapshotAssembler assembler = new SnapshotAssembler();

    private ConfigurationStateMachine(ConfigurationValidator validator) {
        this.evaluator = new RecordEvaluator(validator);
    }

    /** Returns a state machine that rejects change sets in which {@code validator} finds problems. */
    public static ConfigurationStateMachine of(ConfigurationValidator validator) {
        return new ConfigurationStateMachine(Objects.requireNonNull(validator, "validator"));
    }

    /**
     * The outcome of applying one record or importing one peer state.
     *
     * @param state the new state
     * @param verdict the verdict on the record
     * @param decided the change sets decided in this step, in stream order, including records that were pending
     */
    public record Result(ConfigurationState state, Verdict verdict, List<HistoryEntry> decided) {

        /** Copies the list. */
        public Result {
            decided = List.copyOf(decided);
        }
    }

    /** Applies the record at {@code offset} to {@code state}. */
    public Result apply(ConfigurationState state, long offset, ConfigurationRecord record) {
        if (record instanceof SnapshotChunk chunk && assembler.isNewer(state, chunk)) {
            return applyNewerChunk(state, offset, chunk);
        }
        return applyInOrder(state, offset, record);
    }

    /**
     * Adopts a peer's state if its position is later than that of {@code state} and, for a delta, if {@code state} is
     * complete and has reached the delta's base in the same epoch; changes nothing otherwise.
     */
    public Result importPeer(ConfigurationState state, PeerState peer) {
        Optional<AcceptedState> imported =
                peer.applyTo(state.accepted(), state.origin().isComplete());
        if (imported.isEmpty()) {
            return new Result(
                    state,
                    new Verdict.Ignored("the peer's state is not newer, or its base position does not match"),
                    List.of());
        }
        return adopt(state, imported.get(), StateOrigin.PEER);
    }

    private Result applyNewerChunk(ConfigurationState state, long offset, SnapshotChunk chunk) {
        ConfigurationState withChunk = assembler.add(state, chunk);
        Optional<AcceptedState> complete = assembler.assemble(withChunk, chunk);
        if (complete.isEmpty()) {
            return applyInOrder(withChunk, offset, chunk);
        }
        AcceptedState snapshot = complete.get();
        ConfigurationState cleared = assembler.discardUpTo(withChunk, chunk);
        if (chunk.epoch() > StreamPosition.epoch(snapshot.position())) {
            // The snapshot starts a new epoch, in which the state has the position of the chunk that completes it.
            return adopt(cleared, snapshot.atPosition(StreamPosition.of(chunk.epoch(), offset)), StateOrigin.SNAPSHOT);
        }
        ConfigurationState base = cleared;
        if (StreamPosition.epoch(state.position()) == chunk.epoch()) {
            // The chunk is also a record at its offset, so that the records after it do not follow a gap.
            base = applyInOrder(cleared, offset, chunk).state();
        }
        return adopt(base, snapshot, StateOrigin.SNAPSHOT);
    }

    private Result applyInOrder(ConfigurationState state, long offset, ConfigurationRecord record) {
        long position = StreamPosition.of(StreamPosition.epoch(state.position()), offset);
        if (position <= state.position()) {
            return new Result(
                    state, new Verdict.Ignored("offset " + offset + " is already part of the state"), List.of());
        }
        boolean isNext = position == state.position() + 1 && state.pending().isEmpty();
        if (!isNext || hasNewerSchema(record)) {
            return defer(state, offset, record);
        }
        RecordEvaluator.Evaluation evaluation = evaluator.evaluate(state.accepted(), position, record);
        StateOrigin origin = state.origin().isComplete() ? state.origin() : StateOrigin.BEGINNING;
        List<HistoryEntry> decided = evaluation.entry().map(List::of).orElse(List.of());
        return new Result(state.withAccepted(origin, evaluation.state()), evaluation.verdict(), decided);
    }

    private static Result defer(ConfigurationState state, long offset, ConfigurationRecord record) {
        List<PendingRecord> pending = new ArrayList<>(state.pending());
        if (!pending.isEmpty() && pending.get(pending.size() - 1).offset() >= offset) {
            return new Result(state, new Verdict.Ignored("offset " + offset + " is already pending"), List.of());
        }
        // The content of a chunk is not needed here: if its snapshot is newer than the state, the chunk is already part
        // of the partial snapshot.
        boolean isSnapshot = record instanceof SnapshotChunk;
        pending.add(new PendingRecord(offset, isSnapshot ? new ConfigurationRecord.Unknown("snapshot") : record));
        if (pending.size() > MAX_PENDING_RECORDS) {
            pending.remove(0);
        }
        String reason = hasNewerSchema(record) ? "its schema is not supported yet" : "preceding records are missing";
        return new Result(state.withPending(pending), new Verdict.Undecided(state.position(), reason), List.of());
    }

    private Result adopt(ConfigurationState state, AcceptedState adopted, StateOrigin source) {
        long epoch = StreamPosition.epoch(adopted.position());
        boolean sameEpoch = epoch == StreamPosition.epoch(state.position());
        List<HistoryEntry> decided = new ArrayList<>(historyAfter(state.accepted(), adopted));
        AcceptedState accepted = adopted;
        int resolved = 0;
        List<PendingRecord> pending = sameEpoch ? state.pending() : List.of();
        while (resolved < pending.size()) {
            PendingRecord next = pending.get(resolved);
            long position = StreamPosition.of(epoch, next.offset());
            if (position > accepted.position()) {
                if (position != accepted.position() + 1 || hasNewerSchema(next.record())) {
                    break;
                }
                RecordEvaluator.Evaluation evaluation = evaluator.evaluate(accepted, position, next.record());
                accepted = evaluation.state();
                evaluation.entry().ifPresent(decided::add);
            }
            resolved++;
        }
        List<PendingRecord> remaining = pending.subList(resolved, pending.size());
        // A snapshot with a gap after it may be from long before the pending records, so it does not make an incomplete
        // state complete. A peer's state does, because the peer's own state was complete.
        boolean complete = source == StateOrigin.PEER || remaining.isEmpty();
        StateOrigin origin = state.origin().isComplete() || !complete ? state.origin() : source;
        ConfigurationState after = state.withAccepted(origin, accepted).withPending(remaining);
        return new Result(after, new Verdict.Adopted(state.position(), accepted.position()), decided);
    }

    private static List<HistoryEntry> historyAfter(AcceptedState before, AcceptedState after) {
        return after.history().stream()
                .filter(entry -> entry.position() > before.position())
                .toList();
    }

    private static boolean hasNewerSchema(ConfigurationRecord record) {
        return record instanceof ChangeSet change && change.schema() > SCHEMA;
    }
}
