package coriandersill.rollout;

/** What is compared between two versions. */
public enum Signal {
    /** Failed calls. */
    ERRORS,
    /** Time to the first token, or to the answer of a plain call. */
    FIRST_TOKEN,
    /** Mean time between the tokens of a generation. */
    BETWEEN_TOKENS
}
