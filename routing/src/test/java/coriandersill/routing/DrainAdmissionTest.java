package coriandersill.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against calls that a stopping process takes and cannot end. */
final class DrainAdmissionTest {
    @ParameterizedTest
    @CsvSource({
        // time limit, output tokens, slowest recent call, time left, accepted
        "600, , , 700, true",
        "600, , , 600, false",
        "6000, 12, , 4000, true",
        "6000, 12, 400, 4000, true",
        "6000, 12, 2500, 4000, true",
        "6000, 12, 2700, 4000, false",
        "6000, 12, 5900, 4000, false",
        "6000, 12, 5900, 6100, true",
        "39000, 1000, , 7000, false",
        "600, , 20, 500, false",
    })
    void aCallIsAcceptedIfItEndsBeforeTheStop(
            long limitMillis, Integer outputTokens, Long slowestMillis, long leftMillis, boolean accepted) {
        DrainAdmission.DrainingCall call = new DrainAdmission.DrainingCall(
                Duration.ofMillis(limitMillis),
                outputTokens == null ? OptionalInt.empty() : OptionalInt.of(outputTokens),
                Optional.ofNullable(slowestMillis).map(Duration::ofMillis));

        assertThat(DrainAdmission.accepts(call, Duration.ofMillis(leftMillis)), is(accepted));
    }
}
