package coriandersill.documents;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import coriandersill.configuration.AcceptedState;
import coriandersill.configuration.ChangeSet;
import coriandersill.configuration.ConfigurationRecord;
import coriandersill.configuration.ConfigurationState;
import coriandersill.configuration.ConfigurationStateMachine;
import coriandersill.configuration.Document;
import coriandersill.configuration.DocumentEdit;
import coriandersill.configuration.PeerState;
import coriandersill.configuration.SnapshotChunk;
import coriandersill.configuration.StandardRule;
import coriandersill.core.CallFailure;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Guards against log records and peer states that change in a round trip, against decoding that fails on a record of a
 * newer version or with invalid bytes, or loses its id or its problems, and against a diff that is incomplete.
 */
final class RecordCodecTest {
    private static final Instant TIME = Instant.parse("2026-01-02T03:04:05Z");
    private static final Document ZONE = document("zones/shewa-a");
    private static final Document LEDGER = document("services/ledger");

    @Test
    void changeSetsSnapshotsAndPeerStatesSurviveARoundTrip() {
        AcceptedState state = decidedState();
        assertThat("every verdict kind", state.history().size(), is(4));
        ChangeSet change = change("a", -1, DocumentEdit.put(LEDGER, -1), DocumentEdit.delete(ZONE.documentName(), 3));
        assertThat(RecordCodec.decode(RecordCodec.encode(change)), is(change));
        for (SnapshotChunk chunk : SnapshotChunk.split("s1", state, 1)) {
            assertThat(RecordCodec.decode(RecordCodec.encode(chunk)), is(chunk));
        }
        PeerState full = PeerState.full(state);
        assertThat(RecordCodec.decodePeerState(RecordCodec.encode(full)), is(full));
        PeerState delta = PeerState.changesSince(0, state);
        assertThat(RecordCodec.decodePeerState(RecordCodec.encode(delta)), is(delta));
    }

    @Test
    void aRecordOfAnUnknownTypeAndAnInvalidSnapshotAreDecodedAsUnknown() {
        assertThat(decode("{'type':'hint','x':[1]}"), is(new ConfigurationRecord.Unknown("hint")));
        assertThat(decode("{}"), is(new ConfigurationRecord.Unknown("")));
        assertThat(decode("{'type':'snapshot','id':'s'}"), instanceOf(ConfigurationRecord.Unknown.class));
    }

    @Test
    void aChangeSetOfANewerSchemaKeepsItsIdSoThatItCanBeKeptPending() {
        ConfigurationRecord record = decode("{'type':'change','id':'c','author':'a','reason':'r',"
                + "'time':'2026-01-02T03:04:05Z','schema':2,'basedOn':4,'edits':'other','later':1}");
        assertThat(record, is(new ChangeSet("c", "a", "r", TIME, 2, 4, List.of())));
    }

    @Test
    void invalidBytesBecomeAMalformedRecordWithAllProblems() {
        for (String json :
                List.of("", "{", "\u0000\u0001", "{'type':'change'}", "{'type':'change','id':7,'edits':[3]}")) {
            assertThat(json, decode(json), instanceOf(ConfigurationRecord.Malformed.class));
        }
        ConfigurationRecord.Malformed malformed = (ConfigurationRecord.Malformed)
                decode("{'type':'change','id':'c','author':'a','reason':'r','time':'2026-01-02T03:04:05Z','schema':1,"
                        + "'basedOn':4,'edits':[{'document':'zones/z','base':-2,'content':{'region':1}},"
                        + "{'document':'x/y','base':0}]}");
        assertThat(malformed.changeId(), is("c"));
        assertThat(
                malformed.problems().stream().map(Object::toString).toList(),
                contains(
                        "change: edits[0].base: expected an integer from -1 to 9223372036854775807, found -2",
                        "zones/z.json: region: expected 1 to 200 letters, digits, '.', '_', '-' or ':', found 1",
                        "zones/z.json: inService: expected true or false, found nothing",
                        "change: edits[1].document: expected a document's name, found \"x/y\""));
        Assertions.assertThrows(
                CallFailure.class, () -> RecordCodec.decodePeerState("{}".getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void aDiffListsChangedDocumentsAndPathsAndTheEditsThatApplyThem() {
        AcceptedState state = decidedState();
        Document outOfService = DocumentCodecTest.read("zones/shewa-a", "{'region':'shewa','inService':false}")
                .orThrow();
        Document rollout = document("rollouts/ledger");
        DocumentDiff diff = DocumentDiff.between(
                state, Map.of(outOfService.documentName(), outOfService, rollout.documentName(), rollout));
        assertThat(
                diff.changes().stream().map(Object::toString).toList(),
                contains(
                        "Change[name=services/ledger, kind=REMOVED, fields=[]]",
                        "Change[name=zones/shewa-a, kind=CHANGED, "
                                + "fields=[Field[path=inService, before=true, after=false]]]",
                        "Change[name=rollouts/ledger, kind=ADDED, fields=[]]"));
        assertThat(
                diff.edits(),
                contains(
                        DocumentEdit.delete(LEDGER.documentName(), 0),
                        DocumentEdit.put(outOfService, 0),
                        DocumentEdit.put(rollout, -1)));
    }

    private static AcceptedState decidedState() {
        ConfigurationStateMachine stateMachine = ConfigurationStateMachine.of(StandardRule.all());
        Document invalidRollout = document("rollouts/ledger");
        List<ConfigurationRecord> records = List.of(
                change("a", -1, DocumentEdit.put(ZONE, -1), DocumentEdit.put(LEDGER, -1)),
                change("b", 0, DocumentEdit.put(ZONE, 7)),
                change("c", 0, DocumentEdit.put(invalidRollout, -1)),
                new ConfigurationRecord.Malformed("d", "x", List.of()));
        ConfigurationState state = ConfigurationState.initial();
        for (int offset = 0; offset < records.size(); offset++) {
            state = stateMachine.apply(state, offset, records.get(offset)).state();
        }
        return state.accepted();
    }

    private static ChangeSet change(String id, long basedOn, DocumentEdit... edits) {
        return ChangeSet.of(id, "almaz", "because", TIME, basedOn, List.of(edits));
    }

    private static Document document(String name) {
        return DocumentCodecTest.read(name, DocumentCodecTest.VALID.get(name)).orThrow();
    }

    private static ConfigurationRecord decode(String json) {
        return RecordCodec.decode(json.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }
}
