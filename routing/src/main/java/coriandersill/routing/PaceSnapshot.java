package coriandersill.routing;

import coriandersill.core.InstanceId;
import java.util.Map;

/**
 * What is known of the paces of a service's upstreams at one moment.
 *
 * @param uneven whether lasting differences between the upstreams are known
 * @param stepNanos the usual time of a decoding step with an empty batch; 0 if unknown
 * @param batchGrowth how much longer a step takes for each generation in the batch, as a part of the empty step
 * @param meanRatio how many times its lasting time a step takes on average, with prompts and moments of noise
 * @param pauseRatio how many times the usual time of an event the longest pauses between events take
 * @param paces the known paces
 */
public record PaceSnapshot(
        boolean uneven,
        double stepNanos,
        double batchGrowth,
        double meanRatio,
        double pauseRatio,
        Map<InstanceId, EnginePace> paces) {
    /** For a service of which nothing is known. */
    public static final PaceSnapshot NONE = new PaceSnapshot(false, 0, 0, 1, 1, Map.of());

    /** Copies the map. */
    public PaceSnapshot {
        paces = Map.copyOf(paces);
    }

    /** Returns the pace of an upstream; {@link EnginePace#UNKNOWN} if it is not known. */
    public EnginePace of(InstanceId instance) {
        return paces.getOrDefault(instance, EnginePace.UNKNOWN);
    }

    /** Returns the relative pace of an upstream if lasting differences are known in its service, or else 1. */
    public double relative(InstanceId instance) {
        return uneven ? of(instance).relative() : 1;
    }
}
