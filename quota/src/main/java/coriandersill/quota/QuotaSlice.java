package coriandersill.quota;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import java.time.Duration;
import java.util.Optional;

/**
 * What one entry may admit of one workspace: a floor that it always has, and a grant that lapses.
 *
 * <p>Not safe for use by many threads; the holder's lock, of rank {@code QUOTA}, guards it.
 */
final class QuotaSlice {
    private static final Duration LEAST_RETRY = Duration.ofMillis(100);
    private static final double NANOS_PER_SECOND = 1e9;
    /** How much more than the last term's use an entry asks for. */
    private static final double AHEAD = 1.25;

    private final TokenBucket bucket;
    private QuotaAmount floor;
    private QuotaAmount grant = QuotaAmount.NONE;
    private long grantSentNanos;
    private long grantUntilNanos;
    private long fencingToken = Long.MIN_VALUE;
    private int running;
    private int peakWanted;
    private double askedTokens;
    private long askedSinceNanos;

    QuotaSlice(QuotaAmount floor, long nowNanos) {
        this.bucket = new TokenBucket(nowNanos);
        this.floor = floor;
        this.askedSinceNanos = nowNanos;
        this.grantSentNanos = nowNanos;
        this.grantUntilNanos = nowNanos;
        bucket.full(floor.tokensPerSecond());
    }

    /** Sets the part that needs no grant. */
    void floor(QuotaAmount value, long nowNanos) {
        refill(nowNanos);
        floor = value;
    }

    /** Takes a grant for the request that was sent at {@code sentNanos}; one of an older home or request is dropped. */
    boolean granted(QuotaGrant value, long sentNanos, long nowNanos) {
        if (value.fencingToken() < fencingToken || sentNanos - grantSentNanos < 0) {
            return false;
        }
        fencingToken = value.fencingToken();
        if (value.termNanos() > 0) {
            refill(nowNanos);
            grant = value.amount();
            grantSentNanos = sentNanos;
            grantUntilNanos = sentNanos + value.termNanos();
        }
        return true;
    }

    Optional<CallFailure> tryAcquire(int expectedTokens, long nowNanos) {
        refill(nowNanos);
        QuotaAmount amount = amount(nowNanos);
        askedTokens += expectedTokens;
        peakWanted = Math.max(peakWanted, running + 1);
        if (running >= amount.concurrency()) {
            return exceeded("runs " + running + " calls here, its share of the cap", LEAST_RETRY);
        }
        if (bucket.level() <= 0) {
            double seconds = -bucket.level() / Math.max(1e-3, amount.tokensPerSecond());
            long retryNanos = Math.max(LEAST_RETRY.toNanos(), (long) (Math.min(seconds, 60) * NANOS_PER_SECOND));
            return exceeded("has used its tokens for now", Duration.ofNanos(retryNanos));
        }
        bucket.take(expectedTokens);
        running++;
        return Optional.empty();
    }

    void settle(int expectedTokens, int actualTokens) {
        running = Math.max(0, running - 1);
        bucket.take(actualTokens - (double) expectedTokens);
        askedTokens += Math.max(0, actualTokens - expectedTokens);
    }

    /** Returns what the entry wants beyond its floor by its use since the last call, and starts a new period. */
    QuotaAmount wanted(long nowNanos) {
        double seconds = Math.max(1e-3, (nowNanos - askedSinceNanos) / NANOS_PER_SECOND);
        double rate = Math.min(QuotaAmount.UNLIMITED_TOKENS, AHEAD * askedTokens / seconds);
        int calls = peakWanted == 0 ? 0 : (int) Math.ceil(AHEAD * peakWanted);
        peakWanted = running;
        askedTokens = 0;
        askedSinceNanos = nowNanos;
        return new QuotaAmount(calls, rate).minus(floor);
    }

    /** Calls beyond the floor, which the home counts until they end. */
    int runningOnGrant() {
        return Math.max(0, running - floor.concurrency());
    }

    /** Whether nothing runs, was asked for, or is granted. */
    boolean idle(long nowNanos) {
        return running == 0 && peakWanted == 0 && nowNanos - grantUntilNanos >= 0;
    }

    QuotaAmount amount(long nowNanos) {
        return nowNanos - grantUntilNanos < 0 ? floor.plus(grant) : floor;
    }

    private void refill(long nowNanos) {
        if (nowNanos - grantUntilNanos >= 0) {
            bucket.fill(floor.plus(grant).tokensPerSecond(), grantUntilNanos);
            grant = QuotaAmount.NONE;
        }
        bucket.fill(amount(nowNanos).tokensPerSecond(), nowNanos);
    }

    private static Optional<CallFailure> exceeded(String reason, Duration retryAfter) {
        return Optional.of(CallFailure.of(ErrorKind.QUOTA_EXCEEDED, "the workspace " + reason)
                .withRetryAfter(retryAfter));
    }
}
