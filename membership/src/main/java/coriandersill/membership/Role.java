package coriandersill.membership;

/** The role of a process of the system. */
public enum Role {
    /** Accepts calls from the platform's load balancer. */
    ENTRY,
    /** Runs beside one upstream and controls admission to it. */
    SIDECAR
}
