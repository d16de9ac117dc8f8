package coriandersill.standins.engine;

import java.time.Duration;

/**
 * How an engine stand-in behaves.
 *
 * @param stepInterval the time of one decoding step, in which each running generation gains a token
 * @param timeToFirstToken the time from a request to its first token
 * @param defaultMaxTokens tokens of a generation whose request sets no {@code max_tokens}
 * @param failureFraction share of generations that break off halfway, from 0 to 1, chosen by the request's number
 */
public record EngineSettings(
        Duration stepInterval, Duration timeToFirstToken, int defaultMaxTokens, double failureFraction) {

    /** Returns a fast, faultless engine: 5 ms a step, 10 ms to the first token, 32 tokens. */
    public static EngineSettings fast() {
        return new EngineSettings(Duration.ofMillis(5), Duration.ofMillis(10), 32, 0);
    }

    /** Returns the same engine with another step time. */
    public EngineSettings withStepInterval(Duration other) {
        return new EngineSettings(other, timeToFirstToken, defaultMaxTokens, failureFraction);
    }

    /** Returns the same engine with a share of generations that break off. */
    public EngineSettings withFailureFraction(double other) {
        return new EngineSettings(stepInterval, timeToFirstToken, defaultMaxTokens, other);
    }
}
