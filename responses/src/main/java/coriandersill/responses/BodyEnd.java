package coriandersill.responses;

import java.time.Duration;
import java.util.Objects;

/**
 * What is known when a body ends that is delivered as a whole; {@link #verdict} decides whether it is. The end of a
 * stream, which an engine may have been told to stop, is a {@link StreamEnd}.
 *
 * @param framing what tells the end of the body from the end of its connection
 * @param request what is known of the request
 * @param process what is known of the upstream's process
 */
public record BodyEnd(Framing framing, RequestEvidence request, ProcessEvidence process) {
    /**
     * How long after the end of a body the process of an upstream that may be shutting down is asked: longer than one
     * listens after it has closed its connections.
     */
    public static final Duration SHUTDOWN_TIME = Duration.ofMillis(100);

    /** What becomes of the body. */
    public enum Verdict {
        /** The body is whole. */
        WHOLE,
        /** The upstream's process must be asked, then the end is judged again. */
        ASK_PROCESS,
        /** The end does not show that the body is whole. */
        NOT_PROVEN
    }

    /**
     * Checks the arguments.
     *
     * @throws NullPointerException if an argument is null
     */
    public BodyEnd {
        Objects.requireNonNull(framing, "framing");
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(process, "process");
    }

    /**
     * Returns the decision. An upstream that closes a connection on which its request is still being sent has broken
     * off: one that answers early takes the rest, or frames its answer.
     */
    public Verdict verdict() {
        if (framing == Framing.DELIMITED) {
            return Verdict.WHOLE;
        }
        if (request == RequestEvidence.NOT_WRITTEN) {
            return Verdict.NOT_PROVEN;
        }
        return switch (process) {
            case NOT_ASKED -> Verdict.ASK_PROCESS;
            case RUNNING -> Verdict.WHOLE;
            case NOT_KNOWN_TO_RUN -> Verdict.NOT_PROVEN;
        };
    }

    /** Returns why the end shows nothing, for the failure of a body that is {@link Verdict#NOT_PROVEN}. */
    public String doubt() {
        return request == RequestEvidence.NOT_WRITTEN
                ? "its upstream closed the connection before it had taken the request"
                : "the process of its upstream may have ended";
    }
}
