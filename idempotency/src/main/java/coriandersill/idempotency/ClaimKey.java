package coriandersill.idempotency;

import coriandersill.core.WorkspaceName;
import java.util.Objects;

/**
 * What a claim is for: an idempotency key within one workspace, so that no workspace meets another's keys.
 *
 * @param workspace the workspace that sent the key
 * @param key the key
 */
public record ClaimKey(WorkspaceName workspace, IdempotencyKey key) {

    /** Refuses nulls. */
    public ClaimKey {
        Objects.requireNonNull(workspace, "workspace");
        Objects.requireNonNull(key, "key");
    }

    /** Returns the pair. */
    public static ClaimKey of(WorkspaceName workspace, IdempotencyKey key) {
        return new ClaimKey(workspace, key);
    }
}
