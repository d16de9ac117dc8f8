package coriandersill.rollout;

/** A metric that is compared between two versions. */
public enum Signal {
    /** The rate of failed calls. */
    ERRORS,
    /** The time to first token, or to the response of a plain call. */
    FIRST_TOKEN,
    /** The mean time between the tokens of a generation. */
    BETWEEN_TOKENS
}
