package coriandersill.relay;

import io.vertx.core.MultiMap;

/**
 * The head of an upstream's answer, decoded.
 *
 * @param status the HTTP status
 * @param attemptId the identifier of the attempt that is answered; null if the upstream names none
 * @param signed whether it carries the mark of the upstream's own work
 * @param notRun whether it says that the request did not run
 * @param encoded whether the body is encoded, which no caller asked for
 * @param framed whether the end of the body can be told from a connection that was cut
 * @param forwarded the headers that go on to the caller
 */
public record ResponseHead(
        int status,
        String attemptId,
        boolean signed,
        boolean notRun,
        boolean encoded,
        boolean framed,
        MultiMap forwarded) {
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECTION = 300;

    /** Whether the status says that the request succeeded. */
    public boolean successful() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECTION;
    }
}
