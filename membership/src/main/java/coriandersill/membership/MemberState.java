package coriandersill.membership;

/** How this process sees an instance. */
public enum MemberState {
    /** Listed, and not yet proven by a connection of this process. */
    JOINING,
    /** Connected, and its heartbeats come: it takes new work. */
    LIVE,
    /** Its connection is lost or its heartbeats are late: no new work until it is heard again. */
    SUSPECT,
    /** It is leaving: no new work for the rest of its incarnation. */
    DRAINING,
    /** Neither listed nor connected. */
    GONE
}
