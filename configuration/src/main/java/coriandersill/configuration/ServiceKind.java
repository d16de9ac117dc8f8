package coriandersill.configuration;

/** How a service handles a call. */
public enum ServiceKind {
    /** Generates tokens through the completions API. */
    GENERATION,
    /** Answers plain HTTP calls. */
    PLAIN
}
