package coriandersill.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import coriandersill.core.AvailabilityZone;
import coriandersill.core.RouteName;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replays traces of evidence, recorded from the simulated traffic of the bench module at a constant share. */
class TraceReplayTest {
    @ParameterizedTest
    @CsvSource({
        "errors-at-once,    BAD, errors,         45",
        "latency-later,     BAD, token,          40",
        "latency-one-route, BAD, token,          30",
        "good-shared-cause, NOT_BAD, '',         60",
        "good-noisy,        NOT_BAD, '',         60"
    })
    void aBadTraceIsFoundBadInTimeAndAGoodOneIsNotFoundBad(
            String trace, String expectedFinding, String expectedReason, long maxWindow) throws IOException {
        Judge judge = SequentialJudge.factory()
                .create(new JudgeSettings(
                        new RegressionCriteria(3, 2, 2),
                        Set.of(RouteName.of("chat"), RouteName.of("notes")),
                        0.002,
                        60));
        Judgement last = Judgement.none();
        long alarmWindow = Long.MAX_VALUE;
        for (WindowEvidence window : read(trace)) {
            last = judge.observe(window);
            alarmWindow =
                    last.finding() == Judgement.Finding.BAD ? Math.min(alarmWindow, window.window()) : alarmWindow;
        }
        assertThat(last.finding() == Judgement.Finding.BAD, is(expectedFinding.equals("BAD")));
        if (expectedFinding.equals("BAD")) {
            assertThat(last.reason(), containsString(expectedReason));
            assertThat(alarmWindow, lessThanOrEqualTo(maxWindow));
        }
    }

    private static List<WindowEvidence> read(String trace) throws IOException {
        Map<Long, List<Stratum>> windows = new TreeMap<>();
        double share = 0;
        try (BufferedReader reader = new BufferedReader(new InputStreamReader(
                TraceReplayTest.class.getResourceAsStream("/traces/" + trace + ".csv"), StandardCharsets.UTF_8))) {
            for (String line : reader.lines().skip(1).toList()) {
                String[] fields = line.split(",", -1);
                share = Double.parseDouble(fields[1]);
                windows.computeIfAbsent(Long.parseLong(fields[0]), ignored -> new ArrayList<>())
                        .add(new Stratum(
                                RouteName.of(fields[2]),
                                AvailabilityZone.of(fields[3]),
                                cell(fields, 4),
                                cell(fields, 8)));
            }
        }
        double constantShare = share;
        return windows.entrySet().stream()
                .map(window -> new WindowEvidence(window.getKey(), constantShare, window.getValue()))
                .toList();
    }

    private static EvidenceCell cell(String[] fields, int firstField) {
        return new EvidenceCell(
                Long.parseLong(fields[firstField]),
                Long.parseLong(fields[firstField + 1]),
                histogram(fields[firstField + 2]),
                histogram(fields[firstField + 3]));
    }

    private static LatencyHistogram histogram(String text) {
        int[] counts = new int[LatencyHistogram.BUCKETS];
        for (String pair : text.split(" ", -1)) {
            int colon = pair.indexOf(':');
            if (colon > 0) {
                counts[Integer.parseInt(pair.substring(0, colon))] = Integer.parseInt(pair.substring(colon + 1));
            }
        }
        return LatencyHistogram.of(counts);
    }
}
