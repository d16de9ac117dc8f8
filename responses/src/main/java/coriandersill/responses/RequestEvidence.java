package coriandersill.responses;

/** What is known of a request when its response has ended. */
public enum RequestEvidence {
    /** It was written whole, so that its upstream may have taken it. */
    WRITTEN,
    /** A part of it was not written yet: its upstream cannot have taken it in full. */
    NOT_WRITTEN
}
