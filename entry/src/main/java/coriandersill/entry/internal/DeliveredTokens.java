package coriandersill.entry.internal;

import coriandersill.routing.CallResult;
import coriandersill.wire.Message;
import java.util.List;

/**
 * The tokens of one call that its caller has received: how many, when, and for how many its sidecar has no new credit
 * yet.
 *
 * <p>Confined to the Vert.x context of the call.
 */
final class DeliveredTokens {
    /** The number of tokens that a sidecar may send before more credit is granted. */
    static final int CREDIT_WINDOW_TOKENS = 256;

    /** Credit is granted again once at least this many tokens have been delivered. */
    private static final int MIN_CREDIT_GRANT_TOKENS = 64;

    private long count;
    private int withoutCredit;
    private long firstAtNanos;
    private long lastAtNanos;

    /** Returns the number of tokens, which is the index of the next one. */
    long count() {
        return count;
    }

    /** Returns whether any token has been delivered. */
    boolean isAny() {
        return count > 0;
    }

    /** Returns the tokens of a message that have not been delivered yet; none may be missing before them. */
    List<byte[]> newOnes(Message.Tokens tokens) {
        List<byte[]> payloads = tokens.payloads();
        int known = (int) Math.min(count - tokens.firstIndex(), payloads.size());
        return payloads.subList(known, payloads.size());
    }

    /** Records the delivery of {@code number} tokens, at least one. */
    void add(int number, long nowNanos) {
        lastAtNanos = nowNanos;
        if (count == 0) {
            firstAtNanos = nowNanos;
        }
        count += number;
        withoutCredit += number;
    }

    /** Returns whether the sidecar is to be granted credit. */
    boolean isCreditDue() {
        return withoutCredit >= MIN_CREDIT_GRANT_TOKENS;
    }

    /** Returns the number of tokens to grant credit for, which then have it. */
    int takeCredit() {
        int granted = withoutCredit;
        withoutCredit = 0;
        return granted;
    }

    /** Records that the sidecar has a complete window of credit from the next token on. */
    void resetCredit() {
        withoutCredit = 0;
    }

    /** Returns the result of an attempt that succeeded at {@code nowNanos}. */
    CallResult successResult(long dispatchedNanos, long nowNanos) {
        long firstResponseAtNanos = count == 0 ? nowNanos : firstAtNanos;
        long betweenTokensNanos = count < 2 ? 0 : (lastAtNanos - firstAtNanos) / (count - 1);
        return CallResult.ok(firstResponseAtNanos - dispatchedNanos, betweenTokensNanos, count);
    }
}
