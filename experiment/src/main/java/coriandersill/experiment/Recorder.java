package coriandersill.experiment;

import coriandersill.core.CallFailure;
import coriandersill.core.Ran;
import coriandersill.core.WorkspaceName;
import org.HdrHistogram.Histogram;

/** Gathers what a run shows of the calls that arrived in the measured time. */
final class Recorder {
    /** The longest time between tokens that is not a stall. */
    static final long NOMINAL_GAP_NANOS = 69_000_000;

    /** The longest time to the first token of a call that counts for the goodput. */
    static final long FIRST_TOKEN_NANOS = 1_600_000_000L;

    private static final WorkspaceName FLOODING = Workload.workspaceName(3);
    private static final double MICROS_PER_MILLI = 1_000;

    private final RunSettings settings;
    private final long from;
    private final long until;
    private final Histogram firstToken = new Histogram(3);
    private final Histogram between = new Histogram(3);
    private final Histogram firstTokenOthers = new Histogram(3);
    private final Histogram betweenOthers = new Histogram(3);
    private long offeredTokens;
    private long goodTokens;
    private long answered;
    private long refused;
    private long broken;
    private long falseRefusals;
    private long stallNanos;
    private long attempts;
    private long open;

    Recorder(RunSettings settings) {
        this.settings = settings;
        this.from = settings.warmUp().toNanos();
        this.until = from + settings.measured().toNanos();
        for (Arrival arrival : settings.arrivals()) {
            if (counts(arrival)) {
                offeredTokens += arrival.request().outputTokens();
                open++;
            }
        }
    }

    /** Whether calls of the measured time are still open. */
    boolean unfinished() {
        return open > 0;
    }

    void token(Call call, long now) {
        if (call.tokens == 0 || !counts(call.arrival)) {
            return;
        }
        long gap = now - call.lastTokenAt;
        stallNanos += Math.max(0, gap - NOMINAL_GAP_NANOS);
        between.recordValue(gap / 1_000);
        if (!call.arrival.workspace().equals(FLOODING)) {
            betweenOthers.recordValue(gap / 1_000);
        }
    }

    void answered(Call call) {
        if (!counts(call.arrival)) {
            return;
        }
        open--;
        answered++;
        attempts += call.attempt;
        long wait = call.firstTokenAt
                - call.arrival.atNanos()
                + 2 * settings.deployment().clientNanos();
        firstToken.recordValue(wait / 1_000);
        if (!call.arrival.workspace().equals(FLOODING)) {
            firstTokenOthers.recordValue(wait / 1_000);
        }
        if (wait <= FIRST_TOKEN_NANOS) {
            goodTokens += call.tokens;
        }
    }

    void failed(Call call, CallFailure failure) {
        if (failure.ran() == Ran.NO && call.ran) {
            falseRefusals++;
        }
        if (!counts(call.arrival)) {
            return;
        }
        open--;
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
                percentiles(between),
                percentiles(betweenOthers),
                percentiles(firstTokenOthers),
                attempts);
    }

    private boolean counts(Arrival arrival) {
        return arrival.atNanos() >= from && arrival.atNanos() < until;
    }

    private static RunResult.Percentiles percentiles(Histogram micros) {
        return new RunResult.Percentiles(
                micros.getValueAtPercentile(50) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(95) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(99) / MICROS_PER_MILLI);
    }
}
