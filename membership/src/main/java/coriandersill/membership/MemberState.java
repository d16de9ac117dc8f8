package coriandersill.membership;

/** The state of an instance, as seen by this process. */
public enum MemberState {
    /** Listed, but this process has not yet connected to it. */
    JOINING,
    /** Connected with timely heartbeats; receives new work. */
    LIVE,
    /** The connection is lost or heartbeats are late; receives no new work until it is heard from again. */
    SUSPECT,
    /**
     * Is connected and has announced its drain, which lasts for its incarnation, or is marked as leaving in the list;
     * receives no new work.
     */
    DRAINING,
    /** Neither listed nor connected. */
    GONE
}
