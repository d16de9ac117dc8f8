package coriandersill.membership;

/** What a process of the system does. */
public enum Role {
    /** Takes calls behind the platform's balancer. */
    ENTRY,
    /** Guards one upstream and runs beside it. */
    SIDECAR
}
