package coriandersill.quota;

/**
 * A cap on a workspace, or a part of one.
 *
 * @param concurrency the number of concurrent calls, at least 0
 * @param tokensPerSecond the rate of generated tokens, at least 0; {@link #UNLIMITED_TOKENS_PER_SECOND} for no limit
 */
public record QuotaAmount(int concurrency, double tokensPerSecond) {
    /** A rate that no workspace reaches, which stands for no limit. */
    public static final double UNLIMITED_TOKENS_PER_SECOND = 1e12;

    /** No calls and no tokens. */
    public static final QuotaAmount NONE = new QuotaAmount(0, 0);

    /**
     * Throws {@link IllegalArgumentException} if a value is negative or the rate exceeds
     * {@link #UNLIMITED_TOKENS_PER_SECOND}.
     */
    public QuotaAmount {
        if (concurrency < 0 || !(tokensPerSecond >= 0 && tokensPerSecond <= UNLIMITED_TOKENS_PER_SECOND)) {
            throw new IllegalArgumentException("quota amount: expected concurrency >= 0 and 0 <= tokensPerSecond <= "
                    + UNLIMITED_TOKENS_PER_SECOND + ", found " + concurrency + " and " + tokensPerSecond);
        }
    }

    /** Returns the component-wise sum, with the rate limited to {@link #UNLIMITED_TOKENS_PER_SECOND}. */
    public QuotaAmount plus(QuotaAmount other) {
        return new QuotaAmount(
                concurrency + other.concurrency,
                Math.min(UNLIMITED_TOKENS_PER_SECOND, tokensPerSecond + other.tokensPerSecond));
    }

    /** Returns the component-wise difference, at least 0 in each component. */
    public QuotaAmount minus(QuotaAmount other) {
        return new QuotaAmount(
                Math.max(0, concurrency - other.concurrency), Math.max(0, tokensPerSecond - other.tokensPerSecond));
    }

    /** Returns the component-wise minimum. */
    public QuotaAmount min(QuotaAmount other) {
        return new QuotaAmount(
                Math.min(concurrency, other.concurrency), Math.min(tokensPerSecond, other.tokensPerSecond));
    }

    /** Returns the component-wise maximum. */
    public QuotaAmount max(QuotaAmount other) {
        return new QuotaAmount(
                Math.max(concurrency, other.concurrency), Math.max(tokensPerSecond, other.tokensPerSecond));
    }

    /** Returns this amount multiplied by {@code factor}, from 0 to 1; the number of calls is rounded down. */
    public QuotaAmount scaledBy(double factor) {
        // The tolerance keeps rounding errors of the product from losing a whole call.
        return new QuotaAmount((int) Math.floor(concurrency * factor + 1e-9), tokensPerSecond * factor);
    }
}
