package coriandersill.relay;

import coriandersill.responses.Framing;
import coriandersill.upstreams.UpstreamStatement;
import io.vertx.core.MultiMap;

/**
 * The decoded status and headers of an upstream's response.
 *
 * @param status the HTTP status
 * @param callId the identifier of the call that the response belongs to; null if the response names none
 * @param signed whether the response carries the upstream's signature
 * @param notExecuted whether the response states that the request was not executed
 * @param contentEncoded whether the body has a content encoding, which is never requested
 * @param framing what tells the end of the body from the end of its connection
 * @param statement what the upstream says of itself; invalid values say nothing
 * @param load what the response says of the upstream's load
 * @param forwardedHeaders the headers that are forwarded to the caller
 */
public record ResponseHead(
        int status,
        String callId,
        boolean signed,
        boolean notExecuted,
        boolean contentEncoded,
        Framing framing,
        UpstreamStatement statement,
        ClaimedLoad load,
        MultiMap forwardedHeaders) {
    private static final int FIRST_SUCCESS_STATUS = 200;
    private static final int FIRST_REDIRECTION_STATUS = 300;

    /** Returns whether the end of the body can be told from a dropped connection. */
    public boolean framed() {
        return framing == Framing.DELIMITED;
    }

    /** Returns whether the status is a success (2xx). */
    public boolean successful() {
        return status >= FIRST_SUCCESS_STATUS && status < FIRST_REDIRECTION_STATUS;
    }
}
