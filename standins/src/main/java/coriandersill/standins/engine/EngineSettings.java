package coriandersill.standins.engine;

import java.time.Duration;

/**
 * Settings of an {@link EngineStandIn}.
 *
 * @param stepInterval the time of one decoding step, which adds a token to each running generation
 * @param timeToFirstToken the time from a request to its first token
 * @param defaultMaxTokens the length of a generation whose request sets no {@code max_tokens}, in tokens
 * @param failureFraction the fraction of generations that fail halfway, from 0 to 1; which ones is determined by the
 *     request number alone
 */
public record EngineSettings(
        Duration stepInterval, Duration timeToFirstToken, int defaultMaxTokens, double failureFraction) {

    /** Returns settings of a fast engine without failures: 5 ms per step, 10 ms to the first token, 32 tokens. */
    public static EngineSettings fast() {
        return new EngineSettings(Duration.ofMillis(5), Duration.ofMillis(10), 32, 0);
    }

    /** Returns these settings with another step interval. */
    public EngineSettings withStepInterval(Duration interval) {
        return new EngineSettings(interval, timeToFirstToken, defaultMaxTokens, failureFraction);
    }

    /** Returns these settings with another fraction of generations that fail halfway. */
    public EngineSettings withFailureFraction(double fraction) {
        return new EngineSettings(stepInterval, timeToFirstToken, defaultMaxTokens, fraction);
    }
}
