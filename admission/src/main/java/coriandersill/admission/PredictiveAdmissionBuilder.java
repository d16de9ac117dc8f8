package coriandersill.admission;

import coriandersill.core.MonotonicClock;
import java.time.Duration;
import java.util.Objects;

/** Builds a {@link PredictiveAdmission}; every setting has a default but the limits, which start at 1 and 1. */
public final class PredictiveAdmissionBuilder {
    final MonotonicClock clock;
    LengthEstimator estimator = QuantileLengthEstimator.create();
    VictimPolicy victimPolicy = VictimPolicy.cheapestUndelivered();

    private ConcurrencyCeiling ceiling;
    private int coldConcurrency = 1;
    private int maxConcurrency = 1;
    private long memoryTokens;
    private double deviations = NormalQuantile.upper(0.003);
    private long prefillTokens = 512;
    private double headroom = 0.1;
    private int maxWaiting = 256;
    private Duration maxWait = Duration.ofMillis(1_200);
    private Duration firstToken = Duration.ofMillis(1_600);
    private Duration betweenTokens = Duration.ofMillis(69);
    private Duration warmGap = Duration.ofMillis(23);
    private Duration warmUp = Duration.ofSeconds(30);

    PredictiveAdmissionBuilder(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Sets the calls that a cold upstream bears and those that a warm one does; {@code 1 <= cold <= max}. */
    public PredictiveAdmissionBuilder concurrency(int cold, int max) {
        require(cold >= 1 && max >= cold, "concurrency: expected 1 <= cold <= max, found " + cold + " and " + max);
        this.coldConcurrency = cold;
        this.maxConcurrency = max;
        return this;
    }

    /** Sets the engine's memory in tokens; 0 for a plain service, as at first. */
    public PredictiveAdmissionBuilder memoryTokens(long tokens) {
        require(tokens >= 0, "memoryTokens: expected 0 or more, found " + tokens);
        this.memoryTokens = tokens;
        return this;
    }

    /** Sets the estimator of lengths, at first a {@link QuantileLengthEstimator} of its own. */
    public PredictiveAdmissionBuilder estimator(LengthEstimator value) {
        this.estimator = Objects.requireNonNull(value, "estimator");
        return this;
    }

    /** Sets the choice of victims, at first {@link VictimPolicy#cheapestUndelivered()}. */
    public PredictiveAdmissionBuilder victimPolicy(VictimPolicy value) {
        this.victimPolicy = Objects.requireNonNull(value, "victims");
        return this;
    }

    /** Sets the ceiling on concurrency, at first a {@link LatencyBasedCeiling} on 19 of 20 tokens being in time. */
    public PredictiveAdmissionBuilder ceiling(ConcurrencyCeiling value) {
        this.ceiling = Objects.requireNonNull(value, "ceiling");
        return this;
    }

    /** Sets the probability, as projected at admission, that the running set outgrows the memory; at first 0.003. */
    public PredictiveAdmissionBuilder overcommitRisk(double probability) {
        require(
                probability > 0 && probability < 0.5,
                "overcommitRisk: expected more than 0 and less than 0.5, found " + probability);
        this.deviations = NormalQuantile.upper(probability);
        return this;
    }

    /** Sets the most prompt tokens that await a first token together, at first 512; a single prompt may be longer. */
    public PredictiveAdmissionBuilder prefillTokens(long tokens) {
        require(tokens >= 1, "prefillTokens: expected 1 or more, found " + tokens);
        this.prefillTokens = tokens;
        return this;
    }

    /** Sets the share of the limits that a workspace at twice its own share leaves free for others, at first 0.1. */
    public PredictiveAdmissionBuilder headroom(double share) {
        require(share >= 0 && share < 1, "headroom: expected from 0 to below 1, found " + share);
        this.headroom = share;
        return this;
    }

    /** Sets the bounds of the queue: calls that wait, and how long each may; at first 256 and 1.2 s. */
    public PredictiveAdmissionBuilder queue(int calls, Duration wait) {
        require(calls >= 0, "queue: expected 0 calls or more, found " + calls);
        this.maxWaiting = calls;
        this.maxWait = wait;
        return this;
    }

    /** Sets the target times to the first token and between tokens, at first 1.6 s and 69 ms. */
    public PredictiveAdmissionBuilder targets(Duration first, Duration between) {
        require(
                !first.isNegative() && !first.isZero() && !between.isNegative() && !between.isZero(),
                "targets: expected more than zero, found " + first + " and " + between);
        this.firstToken = first;
        this.betweenTokens = between;
        return this;
    }

    /**
     * Sets how a cold upstream shows that it is warm: by a time between tokens of at most {@code gap} at its cold
     * limit, or by working for {@code longest} within the targets; at first 23 ms and 30 s.
     */
    public PredictiveAdmissionBuilder warmUp(Duration gap, Duration longest) {
        this.warmGap = Objects.requireNonNull(gap, "gap");
        this.warmUp = Objects.requireNonNull(longest, "longest");
        return this;
    }

    /** Returns the gate, which starts cold. */
    public PredictiveAdmission build() {
        return new PredictiveAdmission(this);
    }

    ConcurrencyCeiling ceiling() {
        return ceiling != null ? ceiling : LatencyBasedCeiling.of(betweenTokens, 0.05, coldConcurrency, maxConcurrency);
    }

    AdmissionSettings settings() {
        return new AdmissionSettings(
                coldConcurrency,
                maxConcurrency,
                memoryTokens,
                deviations,
                prefillTokens,
                headroom,
                maxWaiting,
                maxWait.toNanos(),
                firstToken.toNanos(),
                betweenTokens.toNanos(),
                warmGap.toNanos(),
                warmUp.toNanos());
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
