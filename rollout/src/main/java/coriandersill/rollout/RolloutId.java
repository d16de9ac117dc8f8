package coriandersill.rollout;

import coriandersill.core.ServiceName;
import java.util.Objects;

/**
 * The identifier of a rollout.
 *
 * @param service the service
 * @param declarationPosition the position of its declaration in the configuration stream, an epoch and an offset in one
 *     number; later declarations have higher positions, see {@link DeclarationPosition}
 */
public record RolloutId(ServiceName service, long declarationPosition) {

    /** Throws if {@code service} is null or {@code declarationPosition} is negative. */
    public RolloutId {
        Objects.requireNonNull(service, "service");
        if (declarationPosition < 0) {
            throw new IllegalArgumentException("declarationPosition: expected 0 or more, found " + declarationPosition);
        }
    }
}
