package coriandersill.rollout;

import java.util.Objects;

/**
 * Call counts of one version on one route, in one availability zone and one time window.
 *
 * @param calls completed calls
 * @param failures calls that failed at the upstream, at most {@code calls}
 * @param firstToken times to first token
 * @param betweenTokens mean times between tokens, one value per call
 */
public record EvidenceCell(long calls, long failures, LatencyHistogram firstToken, LatencyHistogram betweenTokens) {
    private static final EvidenceCell EMPTY =
            new EvidenceCell(0, 0, LatencyHistogram.empty(), LatencyHistogram.empty());

    /** Throws if a histogram is null or {@code failures} is negative or exceeds {@code calls}. */
    public EvidenceCell {
        Objects.requireNonNull(firstToken, "firstToken");
        Objects.requireNonNull(betweenTokens, "betweenTokens");
        if (failures < 0 || failures > calls) {
            throw new IllegalArgumentException(
                    "failures: expected from 0 to " + calls + " (the calls), found " + failures);
        }
    }

    /** Returns a cell whose counts are all zero. */
    public static EvidenceCell empty() {
        return EMPTY;
    }

    /** Returns the sum of both cells. */
    public EvidenceCell plus(EvidenceCell other) {
        return new EvidenceCell(
                calls + other.calls,
                failures + other.failures,
                firstToken.plus(other.firstToken),
                betweenTokens.plus(other.betweenTokens));
    }

    /** Returns the histogram of a latency signal; throws {@link IllegalArgumentException} for {@link Signal#ERRORS}. */
    public LatencyHistogram latency(Signal signal) {
        return switch (signal) {
            case FIRST_TOKEN -> firstToken;
            case BETWEEN_TOKENS -> betweenTokens;
            case ERRORS -> throw new IllegalArgumentException("signal: expected a latency, found " + signal);
        };
    }
}
