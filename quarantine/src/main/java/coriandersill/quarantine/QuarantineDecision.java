package coriandersill.quarantine;

import java.time.Duration;

/** Whether a generation may be sent to an engine. */
public sealed interface QuarantineDecision {

    /** The generation may be sent. */
    record Admitted() implements QuarantineDecision {}

    /**
     * The generation may be sent, to test whether a part still crashes engines.
     *
     * @param verdict the verdict on the part
     */
    record Probe(QuarantineVerdict verdict) implements QuarantineDecision {}

    /**
     * The generation must not be sent.
     *
     * @param verdict the verdict on one of its parts
     * @param retryAfter the time until the part may be tested again
     */
    record Refused(QuarantineVerdict verdict, Duration retryAfter) implements QuarantineDecision {}
}
