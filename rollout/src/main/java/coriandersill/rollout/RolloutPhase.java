package coriandersill.rollout;

/** The phases of a rollout, in order; the last two are final. */
public enum RolloutPhase {
    /** The rollout is accepted and has not started. */
    DECLARED,
    /** Upstreams of the new version are loading. */
    LOADING,
    /** The new version receives a small share of the traffic. */
    CANARY,
    /** The share of the new version is being raised. */
    RAMP,
    /** The new version receives all traffic except a control share and is monitored. */
    PROBATION,
    /** The rollout is complete: the new version receives all traffic. */
    DONE,
    /** The rollout was rolled back: the new version receives no traffic. */
    ROLLED_BACK;

    /** Whether this phase is final. */
    public boolean isTerminal() {
        return this == DONE || this == ROLLED_BACK;
    }
}
