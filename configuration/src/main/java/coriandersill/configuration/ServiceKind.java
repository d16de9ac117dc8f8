package coriandersill.configuration;

/** What a service does with a call. */
public enum ServiceKind {
    /** It generates tokens on the completions form. */
    GENERATION,
    /** It answers plain HTTP calls. */
    PLAIN
}
