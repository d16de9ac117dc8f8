package coriandersill.rollout.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import coriandersill.core.VersionName;
import coriandersill.rollout.RolloutId;
import coriandersill.rollout.RolloutPhase;
import coriandersill.rollout.RolloutState;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a bad version that still receives traffic because the log is down or an entry has not received the
 * verdict, an outdated lease holder that advances a rollout, and entries that end in different states. Three entries
 * run in virtual time over an in-memory log.
 */
class RolloutServiceTest {
    private final SimulatedEntries entries = SimulatedEntries.of(3);

    @Test
    void aGoodVersionReceivesAllTrafficAndEveryEntryReportsItOnce() {
        RolloutId id = entries.declare(1, Duration.ofMinutes(40));
        entries.grantLease(0, 7);
        entries.run(Duration.ofMinutes(41));
        assertThat(entries.finalPhases(id), is(List.of(RolloutPhase.DONE, RolloutPhase.DONE, RolloutPhase.DONE)));
        assertThat(entries.shares(), everyItem(is(1.0)));
        assertThat(entries.terminalStates(), hasSize(3));
        assertThat(entries.service(1).versionFor(SimulatedEntries.SERVICE, 5).orElseThrow(), is(SimulatedEntries.V2));
    }

    @Test
    void aBadVersionIsStoppedOnEveryEntryWhileTheLogIsDown() {
        RolloutId id = entries.declare(1, Duration.ofMinutes(40));
        entries.grantLease(0, 7);
        entries.run(Duration.ofMinutes(2));
        assertThat(entries.shares(), everyItem(greaterThan(0.0)));
        entries.log().faults().setDown(true);
        entries.setNewVersionFailureRate(0.9);
        entries.run(Duration.ofMinutes(3));
        assertThat(entries.shares(), everyItem(is(0.0)));
        assertThat(entries.terminalStates(), is(empty()));
        long callsBefore = entries.newVersionCalls();
        entries.run(Duration.ofMinutes(1));
        assertThat(entries.newVersionCalls(), is(callsBefore));
        entries.log().faults().setDown(false);
        entries.run(Duration.ofMinutes(1));
        assertThat(
                entries.finalPhases(id),
                is(List.of(RolloutPhase.ROLLED_BACK, RolloutPhase.ROLLED_BACK, RolloutPhase.ROLLED_BACK)));
        assertThat(entries.terminalStates(), hasSize(3));
        RolloutState state = entries.terminalStates().get(0);
        assertThat(state.reason(), containsString("errors on"));
    }

    @Test
    void theShareOfABadVersionFallsToZeroWithinTwoSecondsOfTheFinding() {
        for (boolean logDown : new boolean[] {false, true}) {
            SimulatedEntries fresh = SimulatedEntries.of(3);
            fresh.declare(1, Duration.ofMinutes(40));
            fresh.grantLease(0, 7);
            fresh.run(Duration.ofMinutes(2));
            fresh.log().faults().setDown(logDown);
            fresh.setNewVersionFailureRate(0.9);
            fresh.runUntilAnyEntryStops(Duration.ofMinutes(5));
            fresh.run(Duration.ofSeconds(2));
            assertThat("log down: " + logDown, fresh.shares(), everyItem(is(0.0)));
        }
    }

    @Test
    void aStaleLeaseHolderCannotAdvanceTheRollout() {
        entries.declare(1, Duration.ofMinutes(40));
        entries.grantLease(0, 7);
        entries.run(Duration.ofMinutes(1));
        entries.grantLease(1, 9);
        entries.run(Duration.ofMinutes(39));
        assertThat(entries.fencedCount(), is(greaterThan(0L)));
        assertThat(entries.appliedFencingTokens(), everyItem(is(greaterThan(6L))));
        assertThat(entries.appliedFencingTokensAscend(), is(true));
    }

    @Test
    void aSecondRolloutOfAServiceStartsOnlyAfterTheFirstIsDecided() {
        RolloutId first = entries.declare(1, Duration.ofMinutes(40));
        RolloutId second = entries.declare(2, Duration.ofMinutes(60));
        entries.grantLease(0, 7);
        entries.run(Duration.ofMinutes(2));
        assertThat(
                entries.service(0)
                        .status(SimulatedEntries.SERVICE)
                        .orElseThrow()
                        .plan()
                        .id(),
                is(first));
        entries.withdraw(first);
        entries.run(Duration.ofMinutes(3));
        assertThat(entries.finalPhases(first), everyItem(is(RolloutPhase.ROLLED_BACK)));
        assertThat(
                entries.service(2)
                        .status(SimulatedEntries.SERVICE)
                        .orElseThrow()
                        .plan()
                        .id(),
                is(second));
        assertThat(entries.shares(), everyItem(greaterThan(0.0)));
    }

    @Test
    void withdrawingADecidedRolloutReturnsTheServiceToItsCurrentVersion() {
        RolloutId id = entries.declare(1, Duration.ofMinutes(40));
        entries.grantLease(0, 7);
        entries.withdraw(id);
        entries.run(Duration.ofMinutes(1));
        assertThat(entries.finalPhases(id), everyItem(is(RolloutPhase.ROLLED_BACK)));
        assertThat(entries.service(0).versionFor(SimulatedEntries.SERVICE, 5).isPresent(), is(true));
        entries.withdraw(id);
        assertThat(entries.service(0).versionFor(SimulatedEntries.SERVICE, 5).isPresent(), is(false));
        assertThat(entries.finalPhases(id), everyItem(is(RolloutPhase.ROLLED_BACK)));
    }

    @Test
    void aWithdrawalIsRecordedOnceWhenAllEntriesReceiveItAtTheSameTime() {
        RolloutId id = entries.declare(1, Duration.ofMinutes(40));
        entries.grantLease(0, 7);
        entries.run(Duration.ofSeconds(10));
        long appendsBefore = entries.log().appendCount();
        entries.withdraw(id);
        entries.run(Duration.ofMinutes(1));
        assertThat(entries.finalPhases(id), everyItem(is(RolloutPhase.ROLLED_BACK)));
        assertThat(entries.log().appendCount() - appendsBefore, is(1L));
    }

    @Test
    void aWithdrawalIsRecordedWithinSecondsWithoutALeaseHolder() {
        RolloutId id = entries.declare(1, Duration.ofMinutes(40));
        entries.withdraw(id);
        entries.run(Duration.ofSeconds(8));
        assertThat(entries.finalPhases(id), everyItem(is(RolloutPhase.ROLLED_BACK)));
    }

    @Test
    void withoutALeaseTheRolloutDoesNotAdvance() {
        entries.declare(1, Duration.ofMinutes(10));
        entries.run(Duration.ofMinutes(11));
        assertThat(entries.log().appendCount(), is(0L));
        assertThat(entries.shares(), everyItem(is(0.0)));
    }

    @Test
    void anInvalidMessageIsRejectedAndUnknownFieldsAreIgnored() {
        for (String text : List.of("{", "{\"verdicts\":[{}]}", "{\"evidence\":[{\"service\":\"s\"}]}")) {
            CallFailure failure = assertThrows(
                    CallFailure.class, () -> entries.service(0).accept(text.getBytes(StandardCharsets.UTF_8)), text);
            assertThat(failure.kind(), is(ErrorKind.INVALID_REQUEST));
        }
        entries.service(0).accept("{\"later\":1}".getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void anEvidenceReportIsSmallerThan1200Bytes() {
        entries.declare(1, Duration.ofMinutes(40));
        entries.grantLease(0, 7);
        entries.run(Duration.ofMinutes(5));
        assertThat(entries.maxMessageBytes(), is(lessThan(1200)));
    }

    @Test
    void onlyTheNewVersionOfAWithdrawnRolloutIsStopped() {
        RolloutId id = entries.declare(1, Duration.ofMinutes(40));
        entries.withdraw(id);
        assertThat(entries.service(0).isStopped(SimulatedEntries.SERVICE, SimulatedEntries.V2), is(true));
        assertThat(entries.service(0).isStopped(SimulatedEntries.SERVICE, VersionName.of("v1")), is(false));
    }
}
