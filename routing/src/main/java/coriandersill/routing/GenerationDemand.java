package coriandersill.routing;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * What a generation needs of an engine, and what its caller expects.
 *
 * @param promptTokens the length of the prompt
 * @param outputTokens the number of tokens that are expected to be generated
 * @param tokensPerEvent the number of tokens in one event of the stream, at least 1
 * @param targetLatency the time within which the first event is on time
 * @param maxEventGap the longest pause between events that is on time; empty if unspecified
 * @param timeLeft the time until the caller's deadline
 */
public record GenerationDemand(
        int promptTokens,
        int outputTokens,
        int tokensPerEvent,
        Duration targetLatency,
        Optional<Duration> maxEventGap,
        Duration timeLeft) {
    /** Rejects null. */
    public GenerationDemand {
        Objects.requireNonNull(targetLatency, "targetLatency");
        Objects.requireNonNull(maxEventGap, "maxEventGap");
        Objects.requireNonNull(timeLeft, "timeLeft");
    }
}
