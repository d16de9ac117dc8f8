package coriandersill.configuration.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import coriandersill.configuration.AcceptedState;
import coriandersill.configuration.ChangeSet;
import coriandersill.configuration.DocumentEdit;
import coriandersill.configuration.PeerState;
import coriandersill.configuration.Verdict;
import coriandersill.configuration.ZoneDocument;
import coriandersill.configuration.log.ApplyResult.Outcome;
import coriandersill.core.AvailabilityZone;
import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.ManualClock;
import coriandersill.documents.RecordCodec;
import coriandersill.sharedlog.LogPage;
import coriandersill.sharedlog.ManualScheduler;
import coriandersill.sharedlog.PlatformLog;
import coriandersill.standins.platform.InMemoryLog;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Checks the outcomes of applying a change set, also when the log's answer is lost (cases C1, C2, C3 and C7 in
 * docs/design/configuration.md).
 */
final class ConfigurationClientTest {
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final ManualScheduler scheduler = ManualScheduler.of(clock);
    private final InMemoryLog log = InMemoryLog.of(clock, scheduler);
    private final ConfigurationClient client = client();

    @Test
    void ofTwoOperatorsOnTheSameBaseOneGetsAConflict() { // C1
        ConfigurationClient other = client();
        AcceptedState base = client.state().join();
        assertThat(apply(client, change("a", base, zone("z", true))).outcome(), is(Outcome.ACCEPTED));
        ApplyResult conflicting = apply(other, change("b", base, zone("z", true)));
        assertThat(conflicting.outcome(), is(Outcome.CONFLICT));
        assertThat(
                conflicting.verdict().orElseThrow(),
                is(new Verdict.Conflict(
                        List.of(new Verdict.DocumentConflict(zone("z", true).documentName(), -1, 0, "a-author")))));
        assertThat(client.history().join().size(), is(2));
    }

    @Test
    void aRetryAfterALostAnswerFindsItsOwnChangeAndTheActualVerdict() { // C2
        log.faults().loseResponses(1);
        CompletableFuture<ApplyResult> result = client.apply(change("a", AcceptedState.empty(), zone("z", true)));
        scheduler.advance(Duration.ofSeconds(5));
        assertThat(result.join().verdict().orElseThrow(), is(new Verdict.Accepted(0)));
        assertThat(
                "appended once",
                log.readNow(ConfigurationService.STREAM, 0, 9).join().end(),
                is(1L));
    }

    @Test
    void theSameChangeAppliedAgainByAnotherProcessGetsTheFirstVerdict() { // C2
        ChangeSet change = change("a", AcceptedState.empty(), zone("z", true));
        apply(client, change);
        assertThat(apply(client(), change).verdict().orElseThrow(), is(new Verdict.Accepted(0)));
        assertThat(client.state().join().documents().size(), is(1));
    }

    @Test
    void whenTheLogStaysDownTheOutcomeSaysWhetherTheChangeMayBeInIt() { // C2
        log.faults().setDown(true);
        CompletableFuture<ApplyResult> notAppended = client.apply(change("a", AcceptedState.empty(), zone("z", true)));
        scheduler.advance(Duration.ofSeconds(60));
        assertThat(notAppended.join().outcome(), is(Outcome.NOT_APPENDED));
        log.faults().setDown(false);
        log.faults().loseResponses(1);
        CompletableFuture<ApplyResult> unknown = client.apply(change("b", AcceptedState.empty(), zone("z", true)));
        log.faults().setDown(true);
        scheduler.advance(Duration.ofSeconds(60));
        assertThat(unknown.join().outcome(), is(Outcome.UNKNOWN));
    }

    @Test
    void anInvalidChangeIsRejectedAsAWholeAndSoIsItsDryRun() { // C7
        ChangeSet invalid = change("a", AcceptedState.empty(), zone("y", false), zone("z", false));
        assertThat(client.validate(invalid).join(), instanceOf(Verdict.Invalid.class));
        assertThat(log.appendCount(), is(0L));
        assertThat(apply(client, invalid).outcome(), is(Outcome.INVALID));
        assertThat(client.state().join().documents().isEmpty(), is(true));
    }

    @Test
    void aLogWithoutItsBeginningAndWithoutASnapshotRequiresADaemonsState() { // C3
        apply(client, change("a", AcceptedState.empty(), zone("z", true)));
        apply(client, change("b", client.state().join(), zone("y", true)));
        log.faults().trim(ConfigurationService.STREAM, 1);
        ConfigurationClient late = client();
        CallFailure failure = CallFailure.from(Assertions.assertThrows(
                CompletionException.class, () -> late.state().join()));
        assertThat(failure.kind(), is(ErrorKind.UNAVAILABLE));
        TestProcess daemon = new TestProcess("p", log, scheduler, clock);
        daemon.service.importPeerState(
                RecordCodec.encode(PeerState.full(client.state().join())));
        late.startFrom(daemon.service.exportState());
        assertThat(late.state().join(), is(client.state().join()));
    }

    private ApplyResult apply(ConfigurationClient operator, ChangeSet change) {
        return operator.apply(change).join();
    }

    private ConfigurationClient client() {
        return ConfigurationClient.of(
                new NonBlockingReads(log), scheduler, Duration.ofSeconds(20), clock, new Random(3));
    }

    /** A log whose reads at its end return immediately, as the command-line tool requires. */
    private record NonBlockingReads(InMemoryLog log) implements PlatformLog {
        @Override
        public CompletableFuture<Long> append(String stream, List<byte[]> records) {
            return log.append(stream, records);
        }

        @Override
        public CompletableFuture<LogPage> read(String stream, long from, int limit) {
            return log.readNow(stream, from, limit);
        }
    }

    private static ChangeSet change(String id, AcceptedState base, ZoneDocument... zones) {
        return ChangeSet.of(
                id,
                id + "-author",
                "because",
                Instant.EPOCH,
                base.position(),
                List.of(zones).stream()
                        .map(zone -> DocumentEdit.put(zone, base.version(zone.documentName())))
                        .toList());
    }

    private static ZoneDocument zone(String name, boolean inService) {
        return new ZoneDocument(AvailabilityZone.of(name), "shewa", inService);
    }
}
