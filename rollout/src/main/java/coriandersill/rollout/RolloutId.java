package coriandersill.rollout;

import coriandersill.core.ServiceName;
import java.util.Objects;

/**
 * The identifier of a rollout.
 *
 * @param service the service
 * @param declarationOffset the log offset at which its declaration was accepted; later declarations have higher offsets
 */
public record RolloutId(ServiceName service, long declarationOffset) {

    /** Throws if {@code service} is null or {@code declarationOffset} is negative. */
    public RolloutId {
        Objects.requireNonNull(service, "service");
        if (declarationOffset < 0) {
            throw new IllegalArgumentException("declarationOffset: expected 0 or more, found " + declarationOffset);
        }
    }
}
