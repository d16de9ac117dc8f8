package coriandersill.responses;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a part of a body that is delivered as whole, and against a whole one that is not delivered. */
final class BodyEndTest {
    @ParameterizedTest
    @CsvSource({
        "DELIMITED, NOT_ASKED, WHOLE",
        "DELIMITED, RUNNING, WHOLE",
        "DELIMITED, NOT_KNOWN_TO_RUN, WHOLE",
        "CONNECTION_END, NOT_ASKED, ASK_PROCESS",
        "CONNECTION_END, RUNNING, WHOLE",
        "CONNECTION_END, NOT_KNOWN_TO_RUN, NOT_PROVEN"
    })
    void theEndOfABodyIsJudgedAsTheTableSays(Framing framing, ProcessEvidence process, BodyEnd.Verdict verdict) {
        assertThat(new BodyEnd(framing, process).verdict(), is(verdict));
    }
}
