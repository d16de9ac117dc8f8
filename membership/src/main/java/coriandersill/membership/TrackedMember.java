package coriandersill.membership;

/** The mutable state of one instance in a {@link MembershipTable}; guarded by the table's lock. */
final class TrackedMember {
    /** Incarnation of an instance that has not connected to this process yet, below that of any connection. */
    static final long NEVER_CONNECTED = Long.MIN_VALUE;

    Member member;
    MemberState state = MemberState.GONE;
    long incarnation = NEVER_CONNECTED;
    boolean connected;
    boolean listed;
    boolean drainAnnounced;

    /** Whether the list has marked the instance as leaving; cleared only after several readings without the mark. */
    boolean leaving;

    /** The number of consecutive readings of the list that lack the instance; empty lists are not counted. */
    int missingReadings;

    /** The number of readings of the list without a leaving mark for the instance since the last one with it. */
    int notLeavingReadings;

    long lastHeardNanos;

    TrackedMember(Member member, long nowNanos) {
        this.member = member;
        this.lastHeardNanos = nowNanos;
    }

    /**
     * Returns whether the instance is draining. A drain announced by the instance counts only while it is connected: no
     * process connects to a draining instance, so a restarted one would otherwise never be connected to again.
     */
    boolean isDraining() {
        return (drainAnnounced && connected) || leaving;
    }

    /**
     * Resets the connection and the announced drain if {@code newIncarnation} is newer than the current incarnation;
     * returns false if it is older.
     */
    boolean advanceTo(long newIncarnation) {
        if (newIncarnation < incarnation) {
            return false;
        }
        if (newIncarnation > incarnation) {
            incarnation = newIncarnation;
            drainAnnounced = false;
            connected = false;
        }
        return true;
    }
}
