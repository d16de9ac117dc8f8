package coriandersill.configuration;

import static coriandersill.configuration.TestDocuments.change;
import static coriandersill.configuration.TestDocuments.service;
import static coriandersill.configuration.TestDocuments.workspace;
import static coriandersill.configuration.TestDocuments.zone;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import coriandersill.configuration.Verdict.DocumentConflict;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Checks the verdict of a single process on each kind of record (cases C1 to C9 in docs/design/configuration.md). */
final class ConfigurationStateMachineTest {
    private static final DocumentName SHEWA_A = zone("shewa-a", true).documentName();
    private static final ConfigurationStateMachine STATE_MACHINE = ConfigurationStateMachine.of(StandardRule.all());

    private ConfigurationState state = ConfigurationState.initial();

    @Test
    void ofTwoChangesOnTheSameBaseTheFirstInTheLogIsAcceptedAndTheOtherIsAConflict() { // C1
        apply(0, change("a", -1, DocumentEdit.put(zone("shewa-a", true), -1)));
        assertThat(apply(1, change("b", 0, DocumentEdit.put(zone("shewa-a", true), 0))), is(new Verdict.Accepted(1)));
        assertThat(
                apply(
                        2,
                        change(
                                "c",
                                0,
                                DocumentEdit.put(zone("shewa-a", true), 0),
                                DocumentEdit.put(zone("z", true), -1))),
                is(new Verdict.Conflict(List.of(new DocumentConflict(SHEWA_A, 0, 1, "author-b")))));
        assertThat(
                "no edit of a rejected change is applied",
                state.accepted().documents().size(),
                is(1));
    }

    @Test
    void aConflictWithADeletionNamesTheAuthorOfTheDeletion() { // C1
        apply(0, change("a", -1, DocumentEdit.put(zone("shewa-a", true), -1), DocumentEdit.put(zone("b", true), -1)));
        apply(1, change("b", 0, DocumentEdit.delete(SHEWA_A, 0)));
        assertThat(
                apply(2, change("c", 0, DocumentEdit.put(zone("shewa-a", true), 0))),
                is(new Verdict.Conflict(List.of(new DocumentConflict(SHEWA_A, 0, -1, "author-b")))));
    }

    @Test
    void aChangeThatIsAppendedTwiceIsAppliedOnceAndKeepsItsFirstVerdict() { // C2
        ChangeSet put =
                change("a", -1, DocumentEdit.put(zone("shewa-a", true), -1), DocumentEdit.put(zone("b", true), -1));
        apply(0, put);
        apply(1, change("b", 0, DocumentEdit.delete(SHEWA_A, 0)));
        assertThat(apply(2, put), is(new Verdict.Duplicate(0, new Verdict.Accepted(0))));
        assertThat(state.accepted().version(SHEWA_A), is(-1L));
    }

    @Test
    void aChangeBasedOnAStateOlderThanTheHistoryIsRejectedBecauseItMayBeADuplicate() { // C2
        ChangeSet put = change("a", -1, DocumentEdit.put(zone("shewa-a", true), -1));
        apply(0, put);
        apply(1, change("b", 0, DocumentEdit.delete(SHEWA_A, 0)));
        for (int i = 2; i < AcceptedState.MAX_HISTORY_ENTRIES + 2; i++) {
            apply(i, change("c" + i, i - 1, DocumentEdit.put(zone("z", true), i == 2 ? -1 : i - 1)));
        }
        assertThat(apply(AcceptedState.MAX_HISTORY_ENTRIES + 2, put), is(new Verdict.Stale(-1, 1)));
    }

    @Test
    void aChangeWithInvalidDocumentsIsRejectedAsAWholeWithEveryProblem() { // C7
        apply(0, change("a", -1, DocumentEdit.put(service("scribe", "v1"), -1)));
        Verdict verdict = apply(
                1,
                change(
                        "b",
                        0,
                        DocumentEdit.put(service("scribe", "v9"), 0),
                        DocumentEdit.put(workspace("north", "press", "k1"), -1),
                        DocumentEdit.put(workspace("south", "scribe", "k1"), -1),
                        DocumentEdit.put(zone("shewa-a", false), -1),
                        DocumentEdit.put(TestDocuments.rollout("scribe", "v1", "v1"), -1)));
        assertThat(
                ((Verdict.Invalid) verdict)
                        .problems().stream().map(Problem::toString).toList(),
                contains(
                        "workspaces/north.json: services: expected declared services, found \"press\"",
                        "services/scribe.json: current: expected one of [v1, v2], found \"v9\"",
                        "rollouts/scribe.json: to: expected another version than from, found \"v1\"",
                        "workspaces/south.json: keys: expected ids used once, found \"k1\", also in workspaces/north",
                        "zones/shewa-a.json: inService: expected one availability zone in service, found none"));
        assertThat(state.accepted().version(service("scribe", "v1").documentName()), is(0L));
        assertThat(state.accepted().documents().size(), is(1));
    }

    @Test
    void aServiceThatAWorkspaceOrARolloutUsesCannotBeDeleted() { // C7
        apply(0, change("a", -1, DocumentEdit.put(service("scribe", "v1"), -1)));
        apply(1, change("b", 0, DocumentEdit.put(workspace("north", "scribe"), -1)));
        apply(2, change("c", 1, DocumentEdit.put(TestDocuments.rollout("scribe", "v1", "v2"), -1)));
        Verdict verdict = apply(
                3, change("d", 2, DocumentEdit.delete(service("scribe", "v1").documentName(), 0)));
        assertThat(((Verdict.Invalid) verdict).problems().size(), is(2));
    }

    @Test
    void aNewProcessLeavesChangesUndecidedUntilASnapshotSuppliesTheirBase() { // C3, C6
        ConfigurationState full = stateAfter(10);
        List<SnapshotChunk> snapshot = SnapshotChunk.split("s", full.accepted(), 3);
        assertThat(apply(9, changeAt(9)), instanceOf(Verdict.Undecided.class));
        assertThat(apply(10, changeAt(10)), instanceOf(Verdict.Undecided.class));
        assertThat(state.origin().isComplete(), is(false));
        for (int i = 0; i < snapshot.size() - 1; i++) {
            assertThat(apply(11 + i, snapshot.get(i)), instanceOf(Verdict.Undecided.class));
        }
        long last = 10L + snapshot.size();
        assertThat(apply(last, snapshot.get(snapshot.size() - 1)), is(new Verdict.Adopted(-1, last)));
        assertThat(state.origin(), is(StateOrigin.SNAPSHOT));
        assertThat(state.accepted().documents().get(SHEWA_A).version(), is(10L));
        assertThat(
                "the snapshot includes the history", state.accepted().history().size(), is(11));
    }

    @Test
    void aNewProcessThatReadsASnapshotFromBeforeAGapStaysIncomplete() { // C4, C6
        List<SnapshotChunk> old = SnapshotChunk.split("s", stateAfter(3).accepted(), 100);
        apply(9, changeAt(9));
        apply(10, old.get(0));
        apply(11, old.get(1));
        assertThat(state.origin(), is(StateOrigin.NONE));
        assertThat(state.digest(), is(new StateDigest(-1)));
    }

    @Test
    void anOldSnapshotThatIsAppendedLateRevertsNothing() { // C4
        List<SnapshotChunk> old = SnapshotChunk.split("s", stateAfter(3).accepted(), 100);
        state = stateAfter(10);
        assertThat(apply(10, old.get(0)), instanceOf(Verdict.Ignored.class));
        assertThat(apply(11, old.get(1)), instanceOf(Verdict.Ignored.class));
        assertThat(state.accepted().version(SHEWA_A), is(9L));
        assertThat("later records are still accepted", apply(12, changeAt(12, 9)), is(new Verdict.Accepted(12)));
    }

    @Test
    void aProcessWithACompleteStateDefersChangesAfterAGapAndCatchesUpFromAPeer() { // C8, C9
        state = stateAfter(5);
        assertThat(apply(9, changeAt(9)), instanceOf(Verdict.Undecided.class));
        assertThat("the state stays complete", state.origin().isComplete(), is(true));
        PeerState peer = PeerState.changesSince(4, stateAfter(9).accepted());
        assertThat(peer.accepted().history().size(), is(4));
        importPeer(peer);
        assertThat(state.accepted(), is(stateAfter(10).accepted()));
        assertThat(state.pending().isEmpty(), is(true));
    }

    @Test
    void anOlderPeerStateOrADeltaWhoseBaseIsNotReachedChangesNothing() { // C5, C8
        state = stateAfter(5);
        assertThat(importPeer(PeerState.full(stateAfter(4).accepted())), instanceOf(Verdict.Ignored.class));
        assertThat(importPeer(PeerState.changesSince(6, stateAfter(9).accepted())), instanceOf(Verdict.Ignored.class));
        state = ConfigurationState.initial();
        assertThat(importPeer(PeerState.changesSince(3, stateAfter(9).accepted())), instanceOf(Verdict.Ignored.class));
        assertThat(importPeer(PeerState.full(stateAfter(9).accepted())), is(new Verdict.Adopted(-1, 8)));
        assertThat(state.origin(), is(StateOrigin.PEER));
    }

    @Test
    void aDeltaIncludesDeletions() { // C8
        ConfigurationState before = stateAfter(3);
        ConfigurationState after = STATE_MACHINE
                .apply(
                        before,
                        3,
                        change("d", 2, DocumentEdit.put(zone("b", true), -1), DocumentEdit.delete(SHEWA_A, 2)))
                .state();
        state = before;
        importPeer(PeerState.changesSince(2, after.accepted()));
        assertThat(state.accepted(), is(after.accepted()));
    }

    @Test
    void aRepeatedOffsetChangesNothing() { // C9
        state = stateAfter(5);
        ConfigurationState before = state;
        assertThat(apply(3, changeAt(3)), instanceOf(Verdict.Ignored.class));
        assertThat(state, is(before));
    }

    @Test
    void afterARestartOfTheOffsetsChangesWaitForTheSnapshotOfTheNextEpochAndNothingReverts() { // C9
        state = stateAfter(5);
        List<SnapshotChunk> restart = SnapshotChunk.splitForNextEpoch("r", state.accepted(), 100);
        assertThat(apply(0, changeAt(0, 4)), instanceOf(Verdict.Ignored.class));
        apply(1, restart.get(0));
        assertThat(apply(2, restart.get(1)), instanceOf(Verdict.Adopted.class));
        assertThat(state.accepted().version(SHEWA_A), is(4L));
        assertThat(state.position(), is(StreamPosition.of(1, 2)));
        ChangeSet next = change("r3", 4, DocumentEdit.put(zone("shewa-a", true), 4));
        assertThat(apply(3, next), is(new Verdict.Accepted(StreamPosition.of(1, 3))));
        assertThat(
                "a second process's snapshot of the restart is not newer",
                apply(4, restart.get(0)),
                instanceOf(Verdict.Ignored.class));
    }

    @Test
    void recordsOfLaterVersionsAreSkippedOrDeferredButNeverDecided() {
        state = stateAfter(2);
        assertThat(apply(2, new ConfigurationRecord.Unknown("hint")), instanceOf(Verdict.Ignored.class));
        ChangeSet newer = new ChangeSet("n", "a", "r", TestDocuments.TIME, 2, 2, List.of());
        assertThat(apply(3, newer), instanceOf(Verdict.Undecided.class));
        assertThat(apply(4, changeAt(4, 1)), instanceOf(Verdict.Undecided.class));
        Problem problem = new Problem("change", "edits", "a list", "7");
        state = stateAfter(2);
        assertThat(
                apply(2, new ConfigurationRecord.Malformed("m", "x", List.of(problem))),
                is(new Verdict.Invalid(List.of(problem))));
    }

    private Verdict apply(long offset, ConfigurationRecord record) {
        ConfigurationStateMachine.Result result = STATE_MACHINE.apply(state, offset, record);
        state = result.state();
        return result.verdict();
    }

    private Verdict importPeer(PeerState peer) {
        ConfigurationStateMachine.Result result = STATE_MACHINE.importPeer(state, peer);
        state = result.state();
        return result.verdict();
    }

    private static ConfigurationState stateAfter(int changes) {
        return IntStream.range(0, changes)
                .boxed()
                .reduce(
                        ConfigurationState.initial(),
                        (before, i) ->
                                STATE_MACHINE.apply(before, i, changeAt(i)).state(),
                        (a, b) -> b);
    }

    private static ChangeSet changeAt(int offset) {
        return changeAt(offset, offset - 1L);
    }

    private static ChangeSet changeAt(int offset, long base) {
        return change("c" + offset, base, DocumentEdit.put(zone("shewa-a", true), base));
    }
}
