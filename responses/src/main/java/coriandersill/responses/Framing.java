package coriandersill.responses;

/** What tells the end of a response's body from the end of its connection. */
public enum Framing {
    /** A length or chunks. */
    DELIMITED,
    /** Nothing: the body ends with its connection (RFC 9112, section 6.3). */
    CONNECTION_END
}
