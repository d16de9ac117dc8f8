package coriandersill.rollout.log;

import coriandersill.core.AvailabilityZone;
import coriandersill.rollout.RolloutPlan;

/** What rollouts are told of the upstreams and zones. */
public interface RolloutConditions {

    /**
     * Returns the share of the service's traffic that the new version's upstreams bear now, by their cold limits and
     * memory, from 0 (none is ready) to 1.
     */
    double warmShare(RolloutPlan plan);

    /** Whether a zone is leaving, out or returning, so that its calls tell little about a version. */
    boolean zoneChanging(AvailabilityZone zone);

    /** Returns surroundings that hold nothing back. */
    static RolloutConditions unrestricted() {
        return new RolloutConditions() {
            @Override
            public double warmShare(RolloutPlan plan) {
                return 1;
            }

            @Override
            public boolean zoneChanging(AvailabilityZone zone) {
                return false;
            }
        };
    }
}
