package coriandersill.responses;

import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;

/** What tells the end of a response's body from the end of its connection. */
public enum Framing {
    /** A length, chunks, or a status that has no body. */
    DELIMITED,
    /** Nothing: the body ends with its connection (RFC 9112, section 6.3). */
    CONNECTION_END;

    private static final Pattern CHUNKED = Pattern.compile("[ \t]*chunked[ \t]*", Pattern.CASE_INSENSITIVE);
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /**
     * Returns the framing of a response to a request other than HEAD and CONNECT. A transfer coding other than chunked
     * does not delimit the body, and takes precedence over a length.
     *
     * @param status the HTTP status
     * @param transferEncodings the values of Transfer-Encoding
     * @param hasLength whether the response has a Content-Length
     */
    public static Framing of(int status, List<String> transferEncodings, boolean hasLength) {
        boolean hasNoBody = status == NO_CONTENT || status == NOT_MODIFIED;
        boolean delimitedByLength = transferEncodings.isEmpty() && hasLength;
        return hasNoBody || delimitedByLength || isChunked(transferEncodings) ? DELIMITED : CONNECTION_END;
    }

    private static boolean isChunked(List<String> transferEncodings) {
        return transferEncodings.stream()
                .flatMap(value -> Arrays.stream(value.split(",", -1)))
                .anyMatch(coding -> CHUNKED.matcher(coding).matches());
    }
}
