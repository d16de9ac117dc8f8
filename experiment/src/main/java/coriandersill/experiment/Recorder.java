package coriandersill.experiment;

import coriandersill.admission.PredictiveAdmissionBuilder;
import coriandersill.core.CallFailure;
import coriandersill.core.Ran;
import coriandersill.core.WorkspaceName;
import org.HdrHistogram.Histogram;

/** Collects the results of a run from the calls that arrive in the measured period. */
final class Recorder {
    /**
     * The part of a gap between two tokens that exceeds this time counts as stall time. It equals the default target of
     * {@link PredictiveAdmissionBuilder#targets} for the time between tokens.
     */
    static final long STALL_THRESHOLD_NANOS = 69_000_000;

    /**
     * The maximum time to the first token of a call whose tokens count as goodput. It equals the default target of
     * {@link PredictiveAdmissionBuilder#targets} for the time to the first token.
     */
    static final long FIRST_TOKEN_TARGET_NANOS = 1_600_000_000L;

    private static final WorkspaceName FLOODING_WORKSPACE = Workload.workspaceName(Workload.FLOODING_WORKSPACE_INDEX);
    private static final double MICROS_PER_MILLI = 1_000;

    private final RunSettings settings;
    private final long measuredFromNanos;
    private final long measuredUntilNanos;
    private final Histogram firstTokenMicros = new Histogram(3);
    private final Histogram betweenTokensMicros = new Histogram(3);
    private final Histogram firstTokenOtherWorkspacesMicros = new Histogram(3);
    private final Histogram betweenTokensOtherWorkspacesMicros = new Histogram(3);
    private long offeredTokens;
    private long goodputTokens;
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

    /** Returns the number of calls of the measured period that have not ended yet. */
    long openCalls() {
        return openCalls;
    }

    void tokenGenerated(Call call, long nowNanos) {
        if (call.generatedTokens == 0 || !isMeasured(call.arrival)) {
            return;
        }
        long gapNanos = nowNanos - call.lastTokenAtNanos;
        stallNanos += Math.max(0, gapNanos - STALL_THRESHOLD_NANOS);
        betweenTokensMicros.recordValue(gapNanos / 1_000);
        if (!call.arrival.workspace().equals(FLOODING_WORKSPACE)) {
            betweenTokensOtherWorkspacesMicros.recordValue(gapNanos / 1_000);
        }
    }

    void answered(Call call) {
        if (!isMeasured(call.arrival)) {
            return;
        }
        openCalls--;
        answered++;
        attempts += call.attemptNumber;
        long timeToFirstTokenNanos = call.firstTokenAtNanos
                - call.arrival.timeNanos()
                + 2 * settings.deployment().clientDelayNanos();
        firstTokenMicros.recordValue(timeToFirstTokenNanos / 1_000);
        if (!call.arrival.workspace().equals(FLOODING_WORKSPACE)) {
            firstTokenOtherWorkspacesMicros.recordValue(timeToFirstTokenNanos / 1_000);
        }
        if (timeToFirstTokenNanos <= FIRST_TOKEN_TARGET_NANOS) {
            goodputTokens += call.generatedTokens;
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
        attempts += call.attemptNumber;
        if (failure.ran() == Ran.NO) {
            refused++;
        } else {
            broken++;
        }
    }

    RunResult result(String policySet, long preemptions, long coldViolations) {
        double seconds = settings.measured().toNanos() / 1e9;
        return new RunResult(
                policySet,
                settings.seed(),
                offeredTokens / seconds,
                goodputTokens / seconds,
                answered,
                refused,
                broken,
                falseRefusals,
                stallNanos / 1e9,
                preemptions,
                coldViolations,
                percentiles(firstTokenMicros),
                percentiles(betweenTokensMicros),
                percentiles(betweenTokensOtherWorkspacesMicros),
                percentiles(firstTokenOtherWorkspacesMicros),
                attempts);
    }

    private boolean isMeasured(Arrival arrival) {
        return arrival.timeNanos() >= measuredFromNanos && arrival.timeNanos() < measuredUntilNanos;
    }

    private static RunResult.Percentiles percentiles(Histogram histogramMicros) {
        return new RunResult.Percentiles(
                histogramMicros.getValueAtPercentile(50) / MICROS_PER_MILLI,
                histogramMicros.getValueAtPercentile(95) / MICROS_PER_MILLI,
                histogramMicros.getValueAtPercentile(99) / MICROS_PER_MILLI);
    }
}
