package coriandersill.soak;

import coriandersill.platform.EngineRun;
import coriandersill.platform.StopOutcome;
import coriandersill.platform.StreamFraming;
import java.time.Duration;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/** Counts how often streams moved, how orders to stop ended, and which streams were broken off and why. */
final class StreamSummary {
    private static final int STATUS_OK = 200;

    /** How much sooner than its deadline a call may end at its deadline, as this process measures it. */
    private static final Duration MEASURING_DELAY = Duration.ofMillis(50);

    /** Outcomes after which each generation can go on. */
    private static final Set<StopOutcome> HARMLESS_OUTCOMES = EnumSet.of(
            StopOutcome.COPIED,
            StopOutcome.COPIED_SLOWLY,
            StopOutcome.NO_ROOM_WITH_HANDLE,
            StopOutcome.BUSY,
            StopOutcome.ENDED_BEFORE);

    private final EngineRecords records;
    private final DisturbanceTracker disturbances;
    private final Function<CallKind, Duration> maxAnswerTimes;

    private StreamSummary(
            EngineRecords records, DisturbanceTracker disturbances, Function<CallKind, Duration> maxAnswerTimes) {
        this.records = records;
        this.disturbances = disturbances;
        this.maxAnswerTimes = maxAnswerTimes;
    }

    /**
     * Returns lines with the counts.
     *
     * @param maxAnswerTimes by kind of call, the time within which it must be answered
     */
    static List<String> lines(
            List<CallResult> calls,
            List<Upstream> upstreams,
            DisturbanceTracker disturbances,
            Function<CallKind, Duration> maxAnswerTimes) {
        return new StreamSummary(EngineRecords.of(upstreams), disturbances, maxAnswerTimes)
                .lines(calls.stream()
                        .filter(call -> call.kind().streaming() && call.status() == STATUS_OK)
                        .toList());
    }

    private List<String> lines(List<CallResult> streams) {
        Map<Integer, Integer> streamsByRuns = new TreeMap<>();
        Map<StopOutcome, Integer> orders = new EnumMap<>(StopOutcome.class);
        Map<StreamFraming, Integer> stoppedRuns = new EnumMap<>(StreamFraming.class);
        for (CallResult stream : streams) {
            List<EngineRun> runs = records.runs(stream.id());
            streamsByRuns.merge(runs.size(), 1, Integer::sum);
            records.stopOrders(stream.id()).forEach(outcome -> orders.merge(outcome, 1, Integer::sum));
            runs.stream()
                    .filter(run -> run.end() == EngineRun.End.STOPPED)
                    .forEach(run -> stoppedRuns.merge(run.framing(), 1, Integer::sum));
        }
        List<String> unhindered = streams.stream()
                .filter(this::isBrokenOffUnhindered)
                .map(stream -> stream + records.describe(stream))
                .toList();
        return List.of(
                "streams by number of runs: " + streamsByRuns + ", orders to stop: " + orders + ", stopped runs: "
                        + stoppedRuns,
                "streams broken off: "
                        + streams.stream().filter(stream -> !stream.complete()).count() + " of " + streams.size()
                        + ", of which nothing hindered " + unhindered.size()
                        + (unhindered.isEmpty() ? "" : ": " + String.join("\n    ", unhindered)));
    }

    /** Returns whether a stream was broken off before its deadline, though its engines and entry were there. */
    private boolean isBrokenOffUnhindered(CallResult stream) {
        Duration answerTime = maxAnswerTimes.apply(stream.kind());
        boolean deadlineReached = stream.endedAtNanos() - stream.sentAtNanos()
                > answerTime.minus(MEASURING_DELAY).toNanos();
        return !stream.complete()
                && !deadlineReached
                && !records.isEngineGone(stream.id(), stream.endedAtNanos())
                && HARMLESS_OUTCOMES.containsAll(records.stopOrders(stream.id()))
                && !disturbances.isInterrupted(stream.entry(), stream.sentAtNanos(), stream.endedAtNanos());
    }
}
