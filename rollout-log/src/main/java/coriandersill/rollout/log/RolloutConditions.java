package coriandersill.rollout.log;

import coriandersill.core.AvailabilityZone;
import coriandersill.rollout.RolloutPlan;

/** The conditions of upstreams and zones that limit rollouts. */
public interface RolloutConditions {

    /**
     * Returns the share of the service's traffic that the upstreams of the new version can serve now, given their cold
     * limits and memory, from 0 (none is ready) to 1.
     */
    double warmShare(RolloutPlan plan);

    /** Whether a zone is leaving, out of service or returning, so that its calls say little about a version. */
    boolean isZoneChanging(AvailabilityZone zone);

    /** Returns conditions that impose no limit. */
    static RolloutConditions unrestricted() {
        return new RolloutConditions() {
            @Override
            public double warmShare(RolloutPlan plan) {
                return 1;
            }

            @Override
            public boolean isZoneChanging(AvailabilityZone zone) {
                return false;
            }
        };
    }
}
