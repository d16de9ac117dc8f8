package coriandersill.rollout;

/**
 * Compares the two versions of one rollout as evidence comes in.
 *
 * <p>A judge belongs to one rollout and one thread at a time. Once it has found the version bad it stays with that.
 */
public interface Judge {

    /** Takes the evidence of the next closed window and returns what all windows so far show. */
    Judgement observe(WindowEvidence window);
}
