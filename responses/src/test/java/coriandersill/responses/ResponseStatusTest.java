package coriandersill.responses;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ResponseStatusTest {
    @ParameterizedTest
    @CsvSource({
        "-1, INVALID",
        "0, INVALID",
        "1, INVALID",
        "20, INVALID",
        "99, INVALID",
        "100, INTERIM",
        "101, INTERIM",
        "199, INTERIM",
        "200, FINAL",
        "299, FINAL",
        "304, FINAL",
        "421, FINAL",
        "499, FINAL",
        "503, FINAL",
        "599, FINAL",
        "600, INVALID",
        "999, INVALID",
        "2147483647, INVALID"
    })
    void onlyAFinalStatusMakesAResponseAnAnswer(int code, ResponseStatus status) {
        assertThat(ResponseStatus.of(code), is(status));
        assertThat(ResponseStatus.isAnswer(code), is(status == ResponseStatus.FINAL));
    }
}
