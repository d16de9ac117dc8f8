package coriandersill.leases;

import coriandersill.core.InstanceId;
import java.util.Objects;

/**
 * A load of weights from the weight store that waits for its turn.
 *
 * @param instance the sidecar whose engine loads
 * @param weights the name of the weights
 * @param need how many requests a second wait for them; the higher goes first
 */
public record WeightLoad(InstanceId instance, String weights, double need) {

    /** Refuses nulls and a need that is not a number. */
    public WeightLoad {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(weights, "weights");
        if (!(need >= 0)) {
            throw new IllegalArgumentException("need: expected zero or more, found " + need);
        }
    }
}
