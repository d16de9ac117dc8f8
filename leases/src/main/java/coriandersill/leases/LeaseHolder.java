package coriandersill.leases;

import coriandersill.core.InstanceId;
import java.util.Objects;

/**
 * One incarnation of a process, which may hold leases.
 *
 * @param instance the process
 * @param incarnation rises with every start
 */
public record LeaseHolder(InstanceId instance, long incarnation) {

    /** Refuses null. */
    public LeaseHolder {
        Objects.requireNonNull(instance, "instance");
    }
}
