package coriandersill.rollout;

import java.util.Objects;

/**
 * Counts of the calls of one version on one route in one availability zone in one time window.
 *
 * @param calls calls that ended
 * @param failures calls that the upstream failed, at most {@code calls}
 * @param firstToken times to the first token
 * @param betweenTokens mean times between tokens, one a call
 */
public record EvidenceCell(long calls, long failures, LatencyHistogram firstToken, LatencyHistogram betweenTokens) {
    private static final EvidenceCell EMPTY =
            new EvidenceCell(0, 0, LatencyHistogram.empty(), LatencyHistogram.empty());

    /** Refuses null and more failures than calls. */
    public EvidenceCell {
        Objects.requireNonNull(firstToken, "firstToken");
        Objects.requireNonNull(betweenTokens, "betweenTokens");
        if (failures < 0 || failures > calls) {
            throw new IllegalArgumentException(
                    "failures: expected from 0 to " + calls + " (the calls), found " + failures);
        }
    }

    /** Returns the cell without counts. */
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

    /** Returns the histogram of a latency signal; {@link Signal#ERRORS} is refused. */
    public LatencyHistogram latency(Signal signal) {
        return switch (signal) {
            case FIRST_TOKEN -> firstToken;
            case BETWEEN_TOKENS -> betweenTokens;
            case ERRORS -> throw new IllegalArgumentException("signal: expected a latency, found " + signal);
        };
    }
}
