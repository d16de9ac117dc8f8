package coriandersill.admission;

import coriandersill.core.MonotonicClock;
import java.time.Duration;
import java.util.Objects;

/** Builds a {@link PredictiveAdmission}; every setting has a default, 1 for both concurrency limits. */
public final class PredictiveAdmissionBuilder {
    private static final double DEFAULT_LATE_FRACTION = 0.05;

    final MonotonicClock clock;
    LengthEstimator estimator = QuantileLengthEstimator.create();
    VictimPolicy victimPolicy = VictimPolicy.cheapestWithoutOutput();

    private ConcurrencyCeiling ceiling;
    private int coldConcurrency = 1;
    private int maxConcurrency = 1;
    private long memoryTokens;
    private double standardDeviations = NormalQuantile.upper(0.003);
    private long maxPrefillTokens = 512;
    private double headroomFraction = 0.1;
    private int maxWaiting = 256;
    private Duration maxWait = Duration.ofMillis(1_200);
    private Duration firstTokenTarget = Duration.ofMillis(1_600);
    private Duration interTokenTarget = Duration.ofMillis(69);
    private Duration warmInterToken = Duration.ofMillis(23);
    private Duration warmUp = Duration.ofSeconds(30);

    PredictiveAdmissionBuilder(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Sets the concurrency limits of a cold and of a warm upstream; requires {@code 1 <= cold <= max}. */
    public PredictiveAdmissionBuilder concurrency(int cold, int max) {
        require(cold >= 1 && max >= cold, "concurrency: expected 1 <= cold <= max, found " + cold + " and " + max);
        this.coldConcurrency = cold;
        this.maxConcurrency = max;
        return this;
    }

    /** Sets the engine memory in tokens; 0, the default, for a plain service. */
    public PredictiveAdmissionBuilder memoryTokens(long tokens) {
        require(tokens >= 0, "memoryTokens: expected 0 or more, found " + tokens);
        this.memoryTokens = tokens;
        return this;
    }

    /** Sets the length estimator; the default is a new {@link QuantileLengthEstimator}. */
    public PredictiveAdmissionBuilder estimator(LengthEstimator value) {
        this.estimator = Objects.requireNonNull(value, "estimator");
        return this;
    }

    /** Sets the victim policy; the default is {@link VictimPolicy#cheapestWithoutOutput()}. */
    public PredictiveAdmissionBuilder victimPolicy(VictimPolicy value) {
        this.victimPolicy = Objects.requireNonNull(value, "victimPolicy");
        return this;
    }

    /** Sets the concurrency ceiling; the default is a {@link LatencyBasedCeiling} that allows 5 % late tokens. */
    public PredictiveAdmissionBuilder ceiling(ConcurrencyCeiling value) {
        this.ceiling = Objects.requireNonNull(value, "ceiling");
        return this;
    }

    /**
     * Sets the accepted probability, as projected at admission, that the running set exceeds the memory; default 0.003.
     * A risk of 0.05 led to 50 preemptions in a trial.
     */
    public PredictiveAdmissionBuilder overcommitRisk(double probability) {
        require(
                probability > 0 && probability < 0.5,
                "overcommitRisk: expected more than 0 and less than 0.5, found " + probability);
        this.standardDeviations = NormalQuantile.upper(probability);
        return this;
    }

    /**
     * Sets the maximum total number of prompt tokens of the calls that wait for their first token; default 512. A
     * single prompt may be longer. Several prompts in one engine step delay the tokens of all decoding calls. With 256,
     * they were delayed as much, and the 95th percentile of the time to first token rose from 123 to 137 ms at 70 %
     * load.
     */
    public PredictiveAdmissionBuilder maxPrefillTokens(long tokens) {
        require(tokens >= 1, "maxPrefillTokens: expected 1 or more, found " + tokens);
        this.maxPrefillTokens = tokens;
        return this;
    }

    /**
     * Sets the fraction of the limits that a workspace over its share leaves free for others; default 0.1. A workspace
     * is over its share if it uses twice its weighted share of the calls or of the memory, or the midpoint between its
     * weighted share and 1 if that is less. A larger fraction delays first tokens even if no workspace floods.
     */
    public PredictiveAdmissionBuilder headroomFraction(double fraction) {
        require(fraction >= 0 && fraction < 1, "headroomFraction: expected from 0 to below 1, found " + fraction);
        this.headroomFraction = fraction;
        return this;
    }

    /** Sets the maximum number of waiting calls and the maximum wait of each; default 256 and 1.2 s. */
    public PredictiveAdmissionBuilder queue(int calls, Duration wait) {
        require(calls >= 0, "queue: expected 0 or more calls, found " + calls);
        this.maxWaiting = calls;
        this.maxWait = wait;
        return this;
    }

    /** Sets the targets for the time to first token and the time between tokens; default 1.6 s and 69 ms. */
    public PredictiveAdmissionBuilder targets(Duration firstToken, Duration interToken) {
        require(
                !firstToken.isNegative() && !firstToken.isZero() && !interToken.isNegative() && !interToken.isZero(),
                "targets: expected more than zero, found " + firstToken + " and " + interToken);
        this.firstTokenTarget = firstToken;
        this.interTokenTarget = interToken;
        return this;
    }

    /**
     * Sets which samples at the cold limit are considered warm: those with a time between tokens of at most
     * {@code interToken}, and once {@code duration} has passed since the first sample that is not slow, all within the
     * target; default 23 ms and 30 s.
     */
    public PredictiveAdmissionBuilder warmUp(Duration interToken, Duration duration) {
        this.warmInterToken = Objects.requireNonNull(interToken, "interToken");
        this.warmUp = Objects.requireNonNull(duration, "duration");
        return this;
    }

    /** Builds the controller, which starts at the cold limit. */
    public PredictiveAdmission build() {
        return new PredictiveAdmission(this);
    }

    ConcurrencyCeiling ceiling() {
        return ceiling != null
                ? ceiling
                : LatencyBasedCeiling.of(interTokenTarget, DEFAULT_LATE_FRACTION, coldConcurrency, maxConcurrency);
    }

    AdmissionSettings settings() {
        return new AdmissionSettings(
                coldConcurrency,
                maxConcurrency,
                memoryTokens,
                standardDeviations,
                maxPrefillTokens,
                headroomFraction,
                maxWaiting,
                maxWait.toNanos(),
                firstTokenTarget.toNanos(),
                interTokenTarget.toNanos(),
                warmInterToken.toNanos(),
                warmUp.toNanos());
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
