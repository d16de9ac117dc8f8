package coriandersill.rollout;

/** The phases of a rollout, in order; the last two are verdicts. */
public enum RolloutPhase {
    /** Accepted, nothing started. */
    DECLARED,
    /** Upstreams of the new version load. */
    LOADING,
    /** The new version has a small share. */
    CANARY,
    /** The share grows. */
    RAMP,
    /** The new version has all traffic but a control share and is watched. */
    PROBATION,
    /** The new version has all traffic. */
    DONE,
    /** The new version gets no traffic. */
    ROLLED_BACK;

    /** Whether this is a verdict. */
    public boolean isTerminal() {
        return this == DONE || this == ROLLED_BACK;
    }
}
