package coriandersill.responses;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class FramingTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "200; ; true; DELIMITED",
                "200; ; false; CONNECTION_END",
                "204; ; false; DELIMITED",
                "304; ; false; DELIMITED",
                "304; identity; true; DELIMITED",
                "205; ; false; CONNECTION_END",
                "500; ; false; CONNECTION_END",
                "200; chunked; false; DELIMITED",
                "200; Chunked; false; DELIMITED",
                "200; chunked; true; DELIMITED",
                "200; 'chunked\t'; false; DELIMITED",
                "200; 'gzip, chunked'; false; DELIMITED",
                "200; 'gzip|chunked'; false; DELIMITED",
                "200; 'chunked, gzip'; false; DELIMITED",
                "200; identity; false; CONNECTION_END",
                "200; identity; true; CONNECTION_END",
                "200; gzip; false; CONNECTION_END",
                "200; gzip; true; CONNECTION_END",
                "200; ''; true; CONNECTION_END",
                "200; xchunked; false; CONNECTION_END",
                "200; 'chunked;q=1'; false; CONNECTION_END",
                "200; '\u00a0chunked'; false; CONNECTION_END",
                "200; '\u0001chunked'; false; CONNECTION_END"
            })
    void onlyALengthChunksOrAStatusWithoutABodyDelimitIt(
            int status, String transferEncodings, boolean hasLength, Framing framing) {
        List<String> values = transferEncodings == null ? List.of() : Arrays.asList(transferEncodings.split("\\|", -1));

        assertThat(Framing.of(status, values, hasLength), is(framing));
    }
}
