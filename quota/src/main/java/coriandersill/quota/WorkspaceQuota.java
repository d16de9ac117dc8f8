package coriandersill.quota;

import coriandersill.core.CallFailure;
import coriandersill.core.WorkspaceName;
import java.util.Optional;

/** Holds each workspace to its cap at one entry; implementations are safe for use by many threads. */
public interface WorkspaceQuota {

    /**
     * Takes one call and {@code expectedTokens} tokens, 0 or more, out of the workspace's share.
     *
     * @return nothing when they were taken, else a {@code QUOTA_EXCEEDED} failure that says when to retry
     */
    Optional<CallFailure> tryAcquire(WorkspaceName workspace, int expectedTokens);

    /** Gives back the call that {@link #tryAcquire} took, and charges the tokens that it really generated. */
    void settle(WorkspaceName workspace, int expectedTokens, int actualTokens);
}
