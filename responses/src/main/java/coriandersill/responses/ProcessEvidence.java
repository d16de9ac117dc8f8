package coriandersill.responses;

/** What is known of an upstream's process after a response of it has ended. */
public enum ProcessEvidence {
    /** It has not been asked. */
    NOT_ASKED,
    /** The process that sent the response runs. */
    RUNNING,
    /** The process has ended, or its state could not be determined. */
    NOT_KNOWN_TO_RUN
}
