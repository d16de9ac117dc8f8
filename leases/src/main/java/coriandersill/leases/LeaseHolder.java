package coriandersill.leases;

import coriandersill.core.InstanceId;
import java.util.Objects;

/**
 * An incarnation of a process that may hold leases.
 *
 * @param instance the instance
 * @param incarnation a number that increases with every start of the instance
 */
public record LeaseHolder(InstanceId instance, long incarnation) {

    /** Throws {@link NullPointerException} if the instance is null. */
    public LeaseHolder {
        Objects.requireNonNull(instance, "instance");
    }
}
