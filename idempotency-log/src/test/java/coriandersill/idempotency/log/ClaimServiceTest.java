package coriandersill.idempotency.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.core.ManualClock;
import coriandersill.core.Ran;
import coriandersill.core.WorkspaceName;
import coriandersill.idempotency.ClaimKey;
import coriandersill.idempotency.Fingerprint;
import coriandersill.idempotency.HeldClaim;
import coriandersill.idempotency.IdempotencyKey;
import coriandersill.idempotency.KeyWindow;
import coriandersill.idempotency.Outcome;
import coriandersill.sharedlog.ManualScheduler;
import coriandersill.standins.platform.InMemoryLog;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

/** HAZARDS O4, O5, O6, O8 and C9 for the stream of claims, over the log in memory and in virtual time. */
final class ClaimServiceTest {
    private static final Duration LIFETIME = Duration.ofSeconds(30);
    private static final byte[] BODY = {1, 2, 3};

    private final RandomGenerator random = new Random(1);
    private final ManualClock clock = ManualClock.startingAt(Instant.parse("2026-01-01T00:00:00Z"));
    private final ManualScheduler scheduler = ManualScheduler.of(clock);
    private final InMemoryLog log = InMemoryLog.of(clock, scheduler);
    private final ClaimService one = entry("entry-1");
    private final ClaimService two = entry("entry-2");
    private final ClaimKey key = key();

    @Test
    void ofTwoEntriesThatClaimOneKeyAtOnceOneRunsTheCall() {
        CompletableFuture<ClaimResult> first = one.claim(request(key));
        CompletableFuture<ClaimResult> second = two.claim(request(key));
        settle();
        assertThat(first.getNow(null), instanceOf(ClaimResult.Won.class));
        assertThat(second.getNow(null), is(new ClaimResult.InProgress()));
    }

    @Test
    void anOutcomeIsReplayedByEveryEntryAndByANewcomer() {
        HeldClaim hold = win(one);
        assertThat(settled(one.complete(hold, 201, "text/plain", BODY)), is(true));
        ClaimResult expected = new ClaimResult.Replayed(Outcome.of(201, "text/plain", BODY, 100));
        for (ClaimService entry : List.of(one, two, entry("entry-3"))) {
            assertThat(settled(entry.claim(request(key))), is(expected));
        }
    }

    @Test
    void aClaimWhoseAnswerIsLostIsFoundInTheStreamAndWon() {
        log.faults().loseAnswers(1);
        assertThat(settled(one.claim(request(key))), instanceOf(ClaimResult.Won.class));
        assertThat(settled(two.claim(request(key))), is(new ClaimResult.InProgress()));
    }

    @Test
    void whileTheLogIsDownNewKeysAreTrulyNotRunAndKnownOnesAreAnswered() {
        HeldClaim hold = win(one);
        log.faults().down(true);
        CompletableFuture<Boolean> completion = one.complete(hold, 201, "text/plain", BODY);
        assertRefused(one.claim(request(key())), ErrorKind.LOG_UNAVAILABLE);
        assertThat(settled(two.claim(request(key))), is(new ClaimResult.InProgress()));
        scheduler.advance(Duration.ofMinutes(2));
        assertThat(completion.getNow(null), is(false));
        assertThat(settled(two.claim(request(key))), is(new ClaimResult.Unknown()));
        log.faults().down(false);
        scheduler.advance(Duration.ofSeconds(20));
        assertThat(
                "the outcome outlasts the outage",
                settled(two.claim(request(key))),
                instanceOf(ClaimResult.Replayed.class));
    }

    @Test
    void aClaimThatComesBackTooLateIsNotUsedAndIsGivenBack() {
        log.faults().slow(Duration.ofSeconds(3));
        CompletableFuture<ClaimResult> late = one.claim(request(key));
        scheduler.advance(Duration.ofMillis(2100));
        assertRefused(late, ErrorKind.LOG_UNAVAILABLE);
        log.faults().slow(Duration.ZERO);
        scheduler.advance(Duration.ofSeconds(10));
        assertThat(settled(two.claim(request(key))), instanceOf(ClaimResult.Won.class));
    }

    @Test
    void aClaimOfADeadEntryIsNeverTakenOver() {
        win(one);
        settled(one.stop(Duration.ZERO));
        scheduler.advance(Duration.ofHours(1));
        ClaimService restarted = entry("entry-1");
        assertThat(settled(restarted.claim(request(key))), is(new ClaimResult.Unknown()));
    }

    @Test
    void aReleasedKeyMayBeClaimedAgain() {
        settled(one.release(win(one)));
        assertThat(settled(two.claim(request(key))), instanceOf(ClaimResult.Won.class));
    }

    @Test
    void afterAGapOrARestartOfTheOffsetsKeysThatMayBeLostAreRefused() {
        for (Runnable fault : List.<Runnable>of(
                () -> log.faults().skipOffsets("claims", 2), () -> log.faults().restart("claims"))) {
            ClaimService reader = entry("entry-4");
            win(two, key());
            fault.run();
            settled(two.claim(request(key())));
            assertRefused(reader.claim(request(key())), ErrorKind.UNAVAILABLE);
            scheduler.advance(Duration.ofMinutes(11));
            assertThat(settled(reader.claim(request(key()))), instanceOf(ClaimResult.Won.class));
        }
    }

    @Test
    void manyClaimsShareOneAppend() {
        long before = log.appends();
        List<CompletableFuture<ClaimResult>> results = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
            results.add(one.claim(request(key())));
        }
        settle();
        results.forEach(result -> assertThat(result.getNow(null), instanceOf(ClaimResult.Won.class)));
        assertThat(log.appends() - before, lessThanOrEqualTo(2L));
    }

    @Test
    void aWindowThatTheLogDoesNotKeepIsRefused() {
        ClaimServiceBuilder builder = ClaimService.builder(log, scheduler, InstanceId.of("e"), 1);
        builder.window(KeyWindow.ofOneDay(), Duration.ofHours(24));
        assertThrows(IllegalArgumentException.class, builder::build);
    }

    @Test
    void recordsOfAnUnknownKindOrBrokenOnesArePassedOver() {
        for (String text :
                List.of("", "{", "[]", "{\"t\":\"z\"}", "{\"t\":\"o\",\"w\":\"a\",\"k\":\"" + key.key() + "\"}")) {
            assertThat(
                    text,
                    ClaimCodec.decode(text.getBytes(StandardCharsets.UTF_8)).isPresent(),
                    is(false));
        }
    }

    private HeldClaim win(ClaimService entry) {
        return win(entry, key);
    }

    private HeldClaim win(ClaimService entry, ClaimKey claimed) {
        return ((ClaimResult.Won) settled(entry.claim(request(claimed)))).claim();
    }

    private void assertRefused(CompletableFuture<ClaimResult> result, ErrorKind kind) {
        ClaimResult.Refused refused = (ClaimResult.Refused) settled(result);
        assertThat(refused.failure().kind(), is(kind));
        assertThat(refused.failure().ran(), is(Ran.NO));
    }

    private <T> T settled(CompletableFuture<T> future) {
        settle();
        return future.getNow(null);
    }

    private void settle() {
        scheduler.advance(Duration.ofMillis(200));
    }

    private ClaimKey key() {
        return ClaimKey.of(WorkspaceName.of("criers"), IdempotencyKey.generate(clock.instant(), random));
    }

    private static ClaimRequest request(ClaimKey key) {
        return new ClaimRequest(key, new Fingerprint(7), LIFETIME);
    }

    private ClaimService entry(String name) {
        ClaimService service = ClaimService.builder(log, scheduler, InstanceId.of(name), clock.nanos())
                .clock(clock)
                .wallClock(clock)
                .random(random)
                .build();
        CompletableFuture<Void> started = service.start();
        settle();
        assertThat(started.isDone(), is(true));
        return service;
    }
}
