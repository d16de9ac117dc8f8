package coriandersill.experiment;

import coriandersill.core.CallFailure;
import coriandersill.core.Ran;
import coriandersill.core.WorkspaceName;
import org.HdrHistogram.Histogram;

/** Collects the results of a run from the calls that arrive in the measured period. */
final class Recorder {
    /** Gaps between tokens that exceed this time count as stalls, by the excess. */
    static final long STALL_THRESHOLD_NANOS = 69_000_000;

    /** The maximum time to the first token of a call whose tokens count as goodput. */
    static final long FIRST_TOKEN_TARGET_NANOS = 1_600_000_000L;

    private static final WorkspaceName FLOODING_WORKSPACE = Workload.workspaceName(3);
    private static final double MICROS_PER_MILLI = 1_000;

    private final RunSettings settings;
    private final long measuredFromNanos;
    private final long measuredUntilNanos;
    private final Histogram firstToken = new Histogram(3);
    private final Histogram betweenTokens = new Histogram(3);
    private final Histogram firstTokenOthers = new Histogram(3);
    private final Histogram betweenTokensOthers = new Histogram(3);
    private long offeredTokens;
    private long goodTokens;
    private long answered;
    private long refused;
    private long broken;
    private long falseRefusals;
    private long stallNanos;
    private long attempts;
    private long openCalls;

    Recorder(RunSettings settings) {
        this.settings = settings;
        this.measuredFromNanos = settings.warmUp().toNanos();
        this.measuredUntilNanos = measuredFromNanos + settings.measured().toNanos();
        for (Arrival arrival : settings.arrivals()) {
            if (isMeasured(arrival)) {
                offeredTokens += arrival.request().outputTokens();
                openCalls++;
            }
        }
    }

    /** Returns whether calls that arrive in the measured period have not ended yet. */
    boolean hasOpenCalls() {
        return openCalls > 0;
    }

    void token(Call call, long now) {
        if (call.tokens == 0 || !isMeasured(call.arrival)) {
            return;
        }
        long gap = now - call.lastTokenAtNanos;
        stallNanos += Math.max(0, gap - STALL_THRESHOLD_NANOS);
        betweenTokens.recordValue(gap / 1_000);
        if (!call.arrival.workspace().equals(FLOODING_WORKSPACE)) {
            betweenTokensOthers.recordValue(gap / 1_000);
        }
    }

    void answered(Call call) {
        if (!isMeasured(call.arrival)) {
            return;
        }
        openCalls--;
        answered++;
        attempts += call.attempt;
        long timeToFirstToken = call.firstTokenAtNanos
                - call.arrival.timeNanos()
                + 2 * settings.deployment().clientNanos();
        firstToken.recordValue(timeToFirstToken / 1_000);
        if (!call.arrival.workspace().equals(FLOODING_WORKSPACE)) {
            firstTokenOthers.recordValue(timeToFirstToken / 1_000);
        }
        if (timeToFirstToken <= FIRST_TOKEN_TARGET_NANOS) {
            goodTokens += call.tokens;
        }
    }

    void failed(Call call, CallFailure failure) {
        if (failure.ran() == Ran.NO && call.submittedToEngine) {
            falseRefusals++;
        }
        if (!isMeasured(call.arrival)) {
            return;
        }
        openCalls--;
        attempts += call.attempt;
        if (failure.ran() == Ran.NO) {
            refused++;
        } else {
            broken++;
        }
    }

    RunResult result(String policies, long preemptions, long coldViolations) {
        double seconds = settings.measured().toNanos() / 1e9;
        return new RunResult(
                policies,
                settings.seed(),
                offeredTokens / seconds,
                goodTokens / seconds,
                answered,
                refused,
                broken,
                falseRefusals,
                stallNanos / 1e9,
                preemptions,
                coldViolations,
                percentiles(firstToken),
                percentiles(betweenTokens),
                percentiles(betweenTokensOthers),
                percentiles(firstTokenOthers),
                attempts);
    }

    private boolean isMeasured(Arrival arrival) {
        return arrival.timeNanos() >= measuredFromNanos && arrival.timeNanos() < measuredUntilNanos;
    }

    private static RunResult.Percentiles percentiles(Histogram micros) {
        return new RunResult.Percentiles(
                micros.getValueAtPercentile(50) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(95) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(99) / MICROS_PER_MILLI);
    }
}
