package coriandersill.leases;

import coriandersill.core.InstanceId;
import java.util.Objects;

/**
 * A load of weights from the weight store that waits for its turn.
 *
 * @param instance the sidecar whose engine loads
 * @param weights the name of the weights
 * @param demand how many requests a second wait for them; the higher goes first
 */
public record WeightLoad(InstanceId instance, String weights, double demand) {

    /** Refuses nulls and a need that is not a number. */
    public WeightLoad {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(weights, "weights");
        if (!(demand >= 0)) {
            throw new IllegalArgumentException("need: expected zero or more, found " + demand);
        }
    }
}
