package coriandersill.idempotency;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import coriandersill.core.CallFailure;
import coriandersill.core.CallId;
import coriandersill.core.ErrorKind;
import coriandersill.core.ManualClock;
import coriandersill.core.Ran;
import coriandersill.core.WorkspaceName;
import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

/**
 * Guards against a sidecar that forwards a call twice, after its attempt was abandoned or after its entry was paused,
 * or that reports a call as not run although it may have run (cases O2, O3, O5 and O7 in docs/design/idempotency.md).
 */
final class DispatchGateTest {
    private static final Duration MAX_STAMP_AGE = Duration.ofSeconds(5);

    private final RandomGenerator random = new Random(1);
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final DispatchGate gate = DispatchGate.of(clock, random, MAX_STAMP_AGE, 2);
    private final ClaimKey key =
            ClaimKey.of(WorkspaceName.of("criers"), IdempotencyKey.generate(Instant.EPOCH, random));

    @Test
    void aTokenIsAdmittedOnce() {
        assertThat(admitMessage(dispatch(10, 1)), is("admitted"));
        assertThat(admitMessage(dispatch(10, 2)), containsString("handed on before"));
    }

    @Test
    void aDispatchWhoseEntryPausedAfterTheCheckIsRefusedAsNotRun() {
        HeldClaim claim =
                new HeldClaim(key, 10, call(10), Duration.ofSeconds(30).toNanos());
        Dispatch late = claim.dispatch(gate.stamp(), 1, clock);
        clock.advance(MAX_STAMP_AGE.plusMillis(1));
        CallFailure failure = gate.admit(late).orElseThrow();
        assertThat(failure.kind(), is(ErrorKind.FENCED));
        assertThat(failure.ran(), is(Ran.NO));
    }

    @Test
    void aHolderThatPausedBeforeTheCheckSendsNothing() {
        HeldClaim claim =
                new HeldClaim(key, 10, call(10), Duration.ofSeconds(30).toNanos());
        clock.advance(Duration.ofSeconds(30));
        GateStamp fresh = gate.stamp();
        assertThat(
                assertThrows(CallFailure.class, () -> claim.dispatch(fresh, 1, clock))
                        .kind(),
                is(ErrorKind.DEADLINE_EXCEEDED));
    }

    @Test
    void aRestartedGateRefusesDispatchesStampedBeforeTheRestart() {
        Dispatch before = dispatch(10, 1);
        DispatchGate restarted = DispatchGate.of(clock, random, MAX_STAMP_AGE, 2);
        assertThat(restarted.admit(before).orElseThrow().getMessage(), containsString("before this sidecar started"));
    }

    @Test
    void anAbandonedAttemptIsRefusedWhenItArrivesLate() {
        Dispatch attempt = dispatch(10, 1);
        assertThat(gate.abandon(attempt), is(DispatchGate.AbandonResult.NOT_RUN));
        assertThat(admitMessage(attempt), containsString("given up"));
        assertThat(admitMessage(dispatch(10, 2)), is("admitted"));
        assertThat(gate.abandon(dispatch(10, 2)), is(DispatchGate.AbandonResult.DISPATCHED));
        assertThat(gate.admit(dispatch(10, 2)).orElseThrow().ran(), is(Ran.UNKNOWN));
        DispatchGate restarted = DispatchGate.of(clock, random, MAX_STAMP_AGE, 2);
        assertThat(restarted.abandon(attempt), is(DispatchGate.AbandonResult.UNKNOWN));
    }

    @Test
    void anAttemptStaysAbandonedUntilItsStampIsTooOld() {
        Dispatch attempt = dispatch(10, 1);
        gate.abandon(attempt);
        for (int second = 0; second < 12; second++) {
            clock.advance(Duration.ofSeconds(1));
            gate.abandon(dispatch(100 + second, 1));
            assertThat(
                    admitMessage(attempt),
                    is(second < 5 ? "attempt 1 was given up by its entry" : stampTooOldMessage(second + 1)));
        }
    }

    @Test
    void anEvictedTokenIsRefusedWithEveryLowerOne() {
        for (long token : new long[] {10, 12, 14}) {
            assertThat(admitMessage(dispatch(token, 1)), is("admitted"));
        }
        assertThat(admitMessage(dispatch(10, 2)), containsString("handed on before"));
        assertThat(admitMessage(dispatch(9, 1)), containsString("handed on before"));
        assertThat(gate.abandon(dispatch(10, 1)), is(DispatchGate.AbandonResult.UNKNOWN));
        assertThat(admitMessage(dispatch(11, 1)), is("admitted"));
    }

    private static String stampTooOldMessage(int seconds) {
        return "the dispatch's stamp is " + seconds * 1000 + " ms old, more than 5000";
    }

    private String admitMessage(Dispatch dispatch) {
        return gate.admit(dispatch).map(CallFailure::getMessage).orElse("admitted");
    }

    private Dispatch dispatch(long token, int attempt) {
        return new Dispatch(key, token, call(token), attempt, gate.stamp());
    }

    private static CallId call(long token) {
        return new CallId(0, token);
    }
}
