package coriandersill.quota;

import coriandersill.core.CallFailure;
import coriandersill.core.WorkspaceName;
import java.util.Optional;

/** Enforces the caps of workspaces at one entry. Implementations are thread-safe. */
public interface WorkspaceQuota {

    /**
     * Reserves one call and {@code expectedTokens} tokens, at least 0, from the workspace's share.
     *
     * @return empty if they were reserved, otherwise a {@code QUOTA_EXCEEDED} failure with a retry delay
     */
    Optional<CallFailure> tryAcquire(WorkspaceName workspace, int expectedTokens);

    /** Releases the call that {@link #tryAcquire} reserved and corrects the token charge to the actual number. */
    void settle(WorkspaceName workspace, int expectedTokens, int actualTokens);
}
