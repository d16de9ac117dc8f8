package coriandersill.idempotency;

import coriandersill.core.WorkspaceName;
import java.util.Objects;

/**
 * The key of a claim: an idempotency key scoped to one workspace, so that equal keys of different workspaces do not
 * conflict.
 *
 * @param workspace the workspace that sent the key
 * @param key the idempotency key
 */
public record ClaimKey(WorkspaceName workspace, IdempotencyKey key) {

    /** Throws {@link NullPointerException} if a component is null. */
    public ClaimKey {
        Objects.requireNonNull(workspace, "workspace");
        Objects.requireNonNull(key, "key");
    }

    /** Returns the claim key for the given workspace and idempotency key. */
    public static ClaimKey of(WorkspaceName workspace, IdempotencyKey key) {
        return new ClaimKey(workspace, key);
    }
}
