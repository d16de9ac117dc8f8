package coriandersill.rollout;

import coriandersill.core.ServiceName;
import java.util.Objects;

/**
 * The identity of a rollout.
 *
 * @param service the service
 * @param declaredAt the offset at which its declaration was accepted; a later declaration has a higher one
 */
public record RolloutId(ServiceName service, long declaredAt) {

    /** Refuses null and a negative offset. */
    public RolloutId {
        Objects.requireNonNull(service, "service");
        if (declaredAt < 0) {
            throw new IllegalArgumentException("declaredAt: expected 0 or more, found " + declaredAt);
        }
    }
}
