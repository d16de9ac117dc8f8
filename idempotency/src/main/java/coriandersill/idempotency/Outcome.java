package coriandersill.idempotency;

import java.util.Arrays;
import java.util.Objects;

/**
 * The answer of a call that may not be repeated, kept for its repeats.
 *
 * @param status the HTTP status, from 100 to 999
 * @param contentType the media type of the body; empty when there is none
 * @param body the body; callers do not change it; empty when it was not kept
 * @param bodyKept whether {@code body} is the whole body
 */
@SuppressWarnings("ArrayRecordComponent")
public record Outcome(int status, String contentType, byte[] body, boolean bodyKept) {

    /** Refuses a status that is not one of HTTP, and nulls. */
    public Outcome {
        if (status < 100 || status > 999) {
            throw new IllegalArgumentException("status: expected 100 to 999, found " + status);
        }
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }

    /** Returns the outcome with its body, or without it when it is longer than {@code maxBody} bytes. */
    public static Outcome of(int status, String contentType, byte[] body, int maxBody) {
        return body.length <= maxBody ? new Outcome(status, contentType, body, true) : withoutBody(status);
    }

    /** Returns an outcome of which only the status is known. */
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
