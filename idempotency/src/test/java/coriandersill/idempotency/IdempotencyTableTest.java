package coriandersill.idempotency;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import coriandersill.core.CallId;
import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.core.Ran;
import coriandersill.core.RouteName;
import coriandersill.core.ServiceName;
import coriandersill.core.WorkspaceName;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

/**
 * Guards against two claims of a key that are both won, against an outcome that is lost or returned to another
 * workspace, and against a claim that is won although earlier claims of its key may be unknown (cases O4, O5, O6, O9
 * and O10 in docs/design/idempotency.md).
 */
final class IdempotencyTableTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration LIFETIME = Duration.ofSeconds(30);
    private static final Fingerprint DEPOSIT_FINGERPRINT = fingerprint("{\"amount\":5}");
    private static final Fingerprint OTHER_DEPOSIT_FINGERPRINT = fingerprint("{\"amount\":6}");
    private static final Outcome PAID_OUTCOME = Outcome.of(201, "text/plain", new byte[] {1}, 10);

    private final RandomGenerator random = new Random(1);
    private final IdempotencyTable table = table(1000, START.minus(Duration.ofHours(25)));
    private final ClaimKey key = key("criers", START);
    private long offset = 100;

    @Test
    void theFirstClaimInLogOrderWinsAndTheNextFindsItInProgress() {
        ClaimEffect first = table.apply(offset++, START, claim(key, DEPOSIT_FINGERPRINT));
        ClaimEffect second = table.apply(offset++, START, claim(key, DEPOSIT_FINGERPRINT));
        assertThat(((ClaimEffect.Won) first).token(), is(100L));
        assertThat(((ClaimEffect.Lost) second).state(), is(new KeyState.InProgress()));
    }

    @Test
    void aRepeatedCallGetsTheRecordedOutcome() {
        table.apply(offset++, START, claim(key, DEPOSIT_FINGERPRINT));
        table.apply(offset++, START, new ClaimRecord.Completed(key, 100, PAID_OUTCOME));
        assertThat(find(key, DEPOSIT_FINGERPRINT), is(new KeyState.Done(PAID_OUTCOME)));
    }

    @Test
    void aClaimIsNeverTakenOverEvenLongAfterItsHolderIsGone() {
        table.apply(offset++, START, claim(key, DEPOSIT_FINGERPRINT));
        Instant later = START.plus(Duration.ofHours(3));
        ClaimEffect again = table.apply(offset++, later, claim(key, DEPOSIT_FINGERPRINT));
        assertThat(((ClaimEffect.Lost) again).state(), is(new KeyState.Unknown()));
        table.apply(offset++, later, new ClaimRecord.Completed(key, 100, PAID_OUTCOME));
        assertThat(
                "a late outcome is still recorded",
                find(key, DEPOSIT_FINGERPRINT),
                is(new KeyState.Done(PAID_OUTCOME)));
    }

    @Test
    void onlyTheCurrentTokenReleasesOrCompletesAClaim() {
        table.apply(offset++, START, claim(key, DEPOSIT_FINGERPRINT));
        table.apply(offset++, START, new ClaimRecord.Released(key, 99));
        assertThat(find(key, DEPOSIT_FINGERPRINT), is(new KeyState.InProgress()));
        table.apply(offset++, START, new ClaimRecord.Released(key, 100));
        assertThat(find(key, DEPOSIT_FINGERPRINT), is(new KeyState.Unclaimed()));
        ClaimEffect next = table.apply(offset++, START, claim(key, DEPOSIT_FINGERPRINT));
        table.apply(offset++, START, new ClaimRecord.Completed(key, 100, PAID_OUTCOME));
        assertThat(next, instanceOf(ClaimEffect.Won.class));
        assertThat(
                "the outcome of a released token is ignored",
                find(key, DEPOSIT_FINGERPRINT),
                is(new KeyState.InProgress()));
    }

    @Test
    void aRepeatedOffsetIsIgnored() {
        table.apply(offset, START, claim(key, DEPOSIT_FINGERPRINT));
        assertThat(table.apply(offset, START, claim(key, DEPOSIT_FINGERPRINT)), is(new ClaimEffect.Ignored()));
    }

    @Test
    void aKeyReusedWithAnotherBodyIsRefusedEvenAfterARelease() {
        table.apply(offset++, START, claim(key, DEPOSIT_FINGERPRINT));
        assertThat(refusal(find(key, OTHER_DEPOSIT_FINGERPRINT)), is(ErrorKind.IDEMPOTENCY_KEY_REUSED));
        table.apply(offset++, START, new ClaimRecord.Released(key, 100));
        assertThat(refusal(find(key, OTHER_DEPOSIT_FINGERPRINT)), is(ErrorKind.IDEMPOTENCY_KEY_REUSED));
    }

    @Test
    void equalKeysOfDifferentWorkspacesAreIndependent() {
        table.apply(offset++, START, claim(key, DEPOSIT_FINGERPRINT));
        table.apply(offset++, START, new ClaimRecord.Completed(key, 100, PAID_OUTCOME));
        ClaimKey otherWorkspaceKey = ClaimKey.of(WorkspaceName.of("rival"), key.key());
        assertThat(find(otherWorkspaceKey, DEPOSIT_FINGERPRINT), is(new KeyState.Unclaimed()));
        assertThat(
                table.apply(offset++, START, claim(otherWorkspaceKey, OTHER_DEPOSIT_FINGERPRINT)),
                instanceOf(ClaimEffect.Won.class));
    }

    @Test
    void aKeyOutsideTheWindowIsRefusedByTheLogsClockAndNotReportedAsNotRun() {
        Instant afterWindow = START.plus(Duration.ofHours(24)).plusMillis(1);
        KeyState state =
                ((ClaimEffect.Lost) table.apply(offset++, afterWindow, claim(key, DEPOSIT_FINGERPRINT))).state();
        assertThat(refusal(state), is(ErrorKind.IDEMPOTENCY_KEY_EXPIRED));
        assertThat(((KeyState.Refused) state).failure().ran(), is(Ran.UNKNOWN));
        ClaimKey ahead = key("criers", afterWindow.plus(Duration.ofMinutes(6)));
        KeyState early =
                ((ClaimEffect.Lost) table.apply(offset++, afterWindow, claim(ahead, DEPOSIT_FINGERPRINT))).state();
        assertThat(refusal(early), is(ErrorKind.INVALID_REQUEST));
    }

    @Test
    void keysAreDroppedOnlyWhenEveryLaterClaimOfThemIsRefused() {
        table.apply(offset++, START, claim(key, DEPOSIT_FINGERPRINT));
        Instant windowEnd = START.plus(Duration.ofHours(24));
        table.apply(offset++, windowEnd, claim(key("criers", windowEnd), DEPOSIT_FINGERPRINT));
        assertThat(table.size(), is(2));
        Instant afterWindow = windowEnd.plus(Duration.ofHours(2));
        table.apply(offset++, afterWindow, claim(key("criers", afterWindow), DEPOSIT_FINGERPRINT));
        assertThat(table.size(), is(2));
        assertThat(refusal(find(key, DEPOSIT_FINGERPRINT)), is(ErrorKind.IDEMPOTENCY_KEY_EXPIRED));
    }

    @Test
    void aNewReaderRefusesKeysThatMayHaveBeenClaimedBeforeItsHistoryStarts() {
        IdempotencyTable newReader = table(1000, START);
        ClaimKey before = key("criers", START.plus(Duration.ofMinutes(4)));
        assertThat(refusal(newReader.find(before, DEPOSIT_FINGERPRINT, START)), is(ErrorKind.UNAVAILABLE));
        assertThat(
                newReader.apply(7, START, claim(before, DEPOSIT_FINGERPRINT)), instanceOf(ClaimEffect.Undecided.class));
        ClaimKey after = key("criers", START.plus(Duration.ofMinutes(5)));
        assertThat(newReader.apply(8, START, claim(after, DEPOSIT_FINGERPRINT)), instanceOf(ClaimEffect.Won.class));
    }

    @Test
    void aFullTableRefusesNewKeysAndLeavesTheirClaimsUndecided() {
        IdempotencyTable small = table(1, Instant.MIN);
        small.apply(1, START, claim(key, DEPOSIT_FINGERPRINT));
        ClaimKey second = key("criers", START.plusSeconds(1));
        assertThat(refusal(small.find(second, DEPOSIT_FINGERPRINT, START)), is(ErrorKind.OVERLOADED));
        assertThat(small.apply(2, START, claim(second, DEPOSIT_FINGERPRINT)), instanceOf(ClaimEffect.Undecided.class));
        assertThat(refusal(small.find(second, DEPOSIT_FINGERPRINT, START)), is(ErrorKind.UNAVAILABLE));
        assertThat(
                "keys in the table are still known",
                small.find(key, DEPOSIT_FINGERPRINT, START),
                is(new KeyState.InProgress()));
    }

    @Test
    void oldBodiesAreEvictedButTheirStatusIsKept() {
        IdempotencyTable smallTable = IdempotencyTable.of(KeyWindow.ofOneDay(), 100, 300);
        smallTable.setHistoryStart(Instant.MIN);
        ClaimKey[] keys = {key("a", START), key("b", START)};
        for (int i = 0; i < 2; i++) {
            long claimed = 10L * i;
            smallTable.apply(claimed, START, claim(keys[i], DEPOSIT_FINGERPRINT));
            smallTable.apply(claimed + 1, START, new ClaimRecord.Completed(keys[i], claimed, PAID_OUTCOME));
        }
        assertThat(
                smallTable.find(keys[0], DEPOSIT_FINGERPRINT, START), is(new KeyState.Done(Outcome.withoutBody(201))));
        assertThat(smallTable.find(keys[1], DEPOSIT_FINGERPRINT, START), is(new KeyState.Done(PAID_OUTCOME)));
    }

    @Test
    void onlyVersionSevenUuidsAreValidKeys() {
        for (String text : new String[] {null, "", "x", "6ec0bd7f-11c0-43da-975e-2a8ad9ebae0b", "1-2-3-4-5"}) {
            assertThrows(IllegalArgumentException.class, () -> IdempotencyKey.parse(text), text);
        }
        assertThat(IdempotencyKey.parse(key.key().toString()), is(key.key()));
        assertThat(key.key().time(), is(START));
    }

    private KeyState find(ClaimKey claimKey, Fingerprint fingerprint) {
        return table.find(claimKey, fingerprint, START);
    }

    private static ErrorKind refusal(KeyState state) {
        return ((KeyState.Refused) state).failure().kind();
    }

    private ClaimKey key(String workspace, Instant time) {
        return ClaimKey.of(WorkspaceName.of(workspace), IdempotencyKey.generate(time, random));
    }

    private ClaimRecord.Claimed claim(ClaimKey claimed, Fingerprint fingerprint) {
        CallId call = CallId.random(random);
        return new ClaimRecord.Claimed(claimed, fingerprint, call, InstanceId.of("entry-1"), 1, LIFETIME);
    }

    private static IdempotencyTable table(int maxKeys, Instant historyStart) {
        IdempotencyTable table = IdempotencyTable.of(KeyWindow.ofOneDay(), maxKeys, 1000);
        table.setHistoryStart(historyStart);
        return table;
    }

    private static Fingerprint fingerprint(String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return Fingerprint.of(ServiceName.of("ledger"), RouteName.of("deposit"), "POST", "/deposits", bytes);
    }
}
