package coriandersill.idempotency;

import java.util.Arrays;
import java.util.Objects;

/**
 * The response to a non-idempotent call, stored so that it can be returned when the call is repeated.
 *
 * @param status the HTTP status, from 100 to 999
 * @param contentType the media type of the body; empty if there is none
 * @param body the body, which must not be modified; empty if it was not kept
 * @param bodyKept whether {@code body} is the complete body of the response
 */
@SuppressWarnings("ArrayRecordComponent")
public record Outcome(int status, String contentType, byte[] body, boolean bodyKept) {

    /** Throws an exception if the status is out of range or a component is null. */
    public Outcome {
        if (status < 100 || status > 999) {
            throw new IllegalArgumentException("HTTP status: expected 100 to 999, found " + status);
        }
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }

    /** Returns the outcome with the body, or without it if the body is longer than {@code maxBodyBytes} bytes. */
    public static Outcome of(int status, String contentType, byte[] body, int maxBodyBytes) {
        return body.length <= maxBodyBytes ? new Outcome(status, contentType, body, true) : withoutBody(status);
    }

    /** Returns an outcome that has only a status. */
    public static Outcome withoutBody(int status) {
        return new Outcome(status, "", new byte[0], false);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Outcome that
                && status == that.status
                && bodyKept == that.bodyKept
                && contentType.equals(that.contentType)
                && Arrays.equals(body, that.body);
    }

    @Override
    public int hashCode() {
        return 31 * status + Arrays.hashCode(body);
    }
}
