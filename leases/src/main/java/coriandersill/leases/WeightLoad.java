package coriandersill.leases;

import coriandersill.core.InstanceId;
import java.util.Objects;

/**
 * A request to load weights from the weight store.
 *
 * @param instance the sidecar whose engine loads the weights
 * @param weights the name of the weights
 * @param demand the requests per second that wait for these weights; loads with a higher demand are started first
 */
public record WeightLoad(InstanceId instance, String weights, double demand) {

    /** Throws an exception if a component is null or the demand is negative or not a number. */
    public WeightLoad {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(weights, "weights");
        if (!(demand >= 0)) {
            throw new IllegalArgumentException("demand: expected at least 0, found " + demand);
        }
    }
}
