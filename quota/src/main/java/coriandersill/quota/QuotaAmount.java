package coriandersill.quota;

/**
 * A cap of a workspace, or a part of one.
 *
 * @param concurrency calls that run together, 0 or more
 * @param tokensPerSecond tokens generated in a second, 0 or more; {@link #UNLIMITED_TOKENS} for no limit
 */
public record QuotaAmount(int concurrency, double tokensPerSecond) {
    /** A rate that no workspace reaches. */
    public static final double UNLIMITED_TOKENS = 1e12;

    /** Nothing. */
    public static final QuotaAmount NONE = new QuotaAmount(0, 0);

    /** Checks the ranges; throws {@link IllegalArgumentException}. */
    public QuotaAmount {
        if (concurrency < 0 || !(tokensPerSecond >= 0 && tokensPerSecond <= UNLIMITED_TOKENS)) {
            throw new IllegalArgumentException("quota amount: expected concurrency >= 0 and 0 <= tokensPerSecond <= "
                    + UNLIMITED_TOKENS + ", found " + concurrency + " and " + tokensPerSecond);
        }
    }

    /** Returns the sum of the two. */
    public QuotaAmount plus(QuotaAmount other) {
        return new QuotaAmount(
                concurrency + other.concurrency, Math.min(UNLIMITED_TOKENS, tokensPerSecond + other.tokensPerSecond));
    }

    /** Returns what is left without {@code other}, at least nothing. */
    public QuotaAmount minus(QuotaAmount other) {
        return new QuotaAmount(
                Math.max(0, concurrency - other.concurrency), Math.max(0, tokensPerSecond - other.tokensPerSecond));
    }

    /** Returns the smaller of the two in each part. */
    public QuotaAmount min(QuotaAmount other) {
        return new QuotaAmount(
                Math.min(concurrency, other.concurrency), Math.min(tokensPerSecond, other.tokensPerSecond));
    }

    /** Returns the larger of the two in each part. */
    public QuotaAmount max(QuotaAmount other) {
        return new QuotaAmount(
                Math.max(concurrency, other.concurrency), Math.max(tokensPerSecond, other.tokensPerSecond));
    }

    /** Returns {@code share}, from 0 to 1, of this, with the calls rounded down. */
    public QuotaAmount scaledBy(double share) {
        return new QuotaAmount((int) Math.floor(concurrency * share + 1e-9), tokensPerSecond * share);
    }
}
