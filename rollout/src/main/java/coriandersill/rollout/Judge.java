package coriandersill.rollout;

/**
 * Compares the two versions of one rollout as evidence arrives.
 *
 * <p>A judge serves a single rollout and is not thread-safe. A finding of {@link Judgement.Finding#BAD} is final.
 */
public interface Judge {

    /** Adds the evidence of the next closed window and returns the judgement on all windows so far. */
    Judgement observe(WindowEvidence window);
}
