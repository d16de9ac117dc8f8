package coriandersill.quota;

import coriandersill.core.CallFailure;
import coriandersill.core.ErrorKind;
import java.time.Duration;
import java.util.Optional;

/**
 * The quota of one workspace at one entry: a permanent floor plus a grant that expires.
 *
 * <p>Not thread-safe; the owner guards it with its lock of rank {@code QUOTA}.
 */
final class QuotaSlice {
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(100);
    private static final double MAX_RETRY_DELAY_SECONDS = 60;
    /** Keeps the retry delay finite at a rate of 0. */
    private static final double MIN_TOKENS_PER_SECOND = 1e-3;
    /** Keeps the estimated rate finite if two demands are collected at nearly the same time. */
    private static final double MIN_PERIOD_SECONDS = 1e-3;

    private static final double NANOS_PER_SECOND = 1e9;
    /** The factor by which the requested amount exceeds the use in the last period, so that use can grow. */
    private static final double DEMAND_HEADROOM_FACTOR = 1.25;

    private final TokenBucket bucket;
    private QuotaAmount floor;
    private QuotaAmount grant = QuotaAmount.NONE;
    private long grantDemandSentNanos;
    private long grantExpiryNanos;
    private long fencingToken = Long.MIN_VALUE;
    private int running;
    /** The peak number of running calls in this period, counting a refused call as if it ran. */
    private int peakRequestedCalls;
    /** The tokens requested in this period, including those of refused calls; the demand may thus exceed the limit. */
    private double requestedTokens;

    private long periodStartNanos;

    QuotaSlice(QuotaAmount floor, long nowNanos) {
        this.bucket = new TokenBucket(nowNanos);
        this.floor = floor;
        this.periodStartNanos = nowNanos;
        this.grantDemandSentNanos = nowNanos;
        this.grantExpiryNanos = nowNanos;
        bucket.fillToBurst(floor.tokensPerSecond());
    }

    /** Sets the amount that needs no grant. */
    void setFloor(QuotaAmount value, long nowNanos) {
        refillBucket(nowNanos);
        floor = value;
    }

    /**
     * Applies the answer to a demand that was sent at {@code sentNanos}; returns false if its home or demand is
     * outdated.
     */
    boolean applyGrant(QuotaGrant newGrant, long sentNanos, long nowNanos) {
        if (newGrant.fencingToken() < fencingToken || sentNanos - grantDemandSentNanos < 0) {
            return false;
        }
        fencingToken = newGrant.fencingToken();
        if (newGrant.termNanos() > 0) {
            refillBucket(nowNanos);
            grant = newGrant.amount();
            grantDemandSentNanos = sentNanos;
            grantExpiryNanos = sentNanos + newGrant.termNanos();
        }
        return true;
    }

    Optional<CallFailure> tryAcquire(int expectedTokens, long nowNanos) {
        refillBucket(nowNanos);
        QuotaAmount amount = currentLimit(nowNanos);
        requestedTokens += expectedTokens;
        peakRequestedCalls = Math.max(peakRequestedCalls, running + 1);
        if (running >= amount.concurrency()) {
            return exceeded("runs " + running + " calls here, its share of the cap", MIN_RETRY_DELAY);
        }
        if (bucket.level() <= 0) {
            double seconds = -bucket.level() / Math.max(MIN_TOKENS_PER_SECOND, amount.tokensPerSecond());
            long retryNanos = Math.max(
                    MIN_RETRY_DELAY.toNanos(), (long) (Math.min(seconds, MAX_RETRY_DELAY_SECONDS) * NANOS_PER_SECOND));
            return exceeded("has used its tokens for now", Duration.ofNanos(retryNanos));
        }
        bucket.charge(expectedTokens);
        running++;
        return Optional.empty();
    }

    void settle(int expectedTokens, int actualTokens) {
        running = Math.max(0, running - 1);
        bucket.charge(actualTokens - (double) expectedTokens);
        requestedTokens += Math.max(0, actualTokens - expectedTokens);
    }

    /** Returns the demand beyond the floor, estimated from the use in the current period, and starts a new period. */
    QuotaAmount takeDemand(long nowNanos) {
        double seconds = Math.max(MIN_PERIOD_SECONDS, (nowNanos - periodStartNanos) / NANOS_PER_SECOND);
        double rate =
                Math.min(QuotaAmount.UNLIMITED_TOKENS_PER_SECOND, DEMAND_HEADROOM_FACTOR * requestedTokens / seconds);
        int calls = peakRequestedCalls == 0 ? 0 : (int) Math.ceil(DEMAND_HEADROOM_FACTOR * peakRequestedCalls);
        peakRequestedCalls = running;
        requestedTokens = 0;
        periodStartNanos = nowNanos;
        return new QuotaAmount(calls, rate).minus(floor);
    }

    /** The running calls beyond the floor; the home counts them until they end. */
    int runningBeyondFloor() {
        return Math.max(0, running - floor.concurrency());
    }

    /** Whether no call is running, none was requested in this period and no grant is in force. */
    boolean isIdle(long nowNanos) {
        return running == 0 && peakRequestedCalls == 0 && nowNanos - grantExpiryNanos >= 0;
    }

    QuotaAmount currentLimit(long nowNanos) {
        return nowNanos - grantExpiryNanos < 0 ? floor.plus(grant) : floor;
    }

    /** Refills the bucket at the rate of floor and grant until the grant expires, then at the rate of the floor. */
    private void refillBucket(long nowNanos) {
        if (nowNanos - grantExpiryNanos >= 0) {
            bucket.refill(floor.plus(grant).tokensPerSecond(), grantExpiryNanos);
            grant = QuotaAmount.NONE;
        }
        bucket.refill(currentLimit(nowNanos).tokensPerSecond(), nowNanos);
    }

    private static Optional<CallFailure> exceeded(String reason, Duration retryAfter) {
        return Optional.of(CallFailure.of(ErrorKind.QUOTA_EXCEEDED, "the workspace " + reason)
                .withRetryAfter(retryAfter));
    }
}
