package coriandersill.membership;

/** The mutable state of one instance in a {@link MembershipTable}; guarded by the table's lock. */
final class TrackedMember {
    Member member;
    MemberState state = MemberState.GONE;
    long incarnation = Long.MIN_VALUE;
    boolean connected;
    boolean listed;
    boolean drainAnnounced;
    boolean leaving;
    int missedReads;
    int notLeavingReads;
    long lastHeardNanos;

    TrackedMember(Member member, long nowNanos) {
        this.member = member;
        this.lastHeardNanos = nowNanos;
    }

    /**
     * Returns whether the instance is draining. A drain announced by the instance applies only while its connection is
     * open, because a restarted instance returns on a new connection.
     */
    boolean isDraining() {
        return (drainAnnounced && connected) || leaving;
    }

    /** Resets the state if {@code other} is a newer incarnation; returns false if {@code other} has been replaced. */
    boolean advanceTo(long other) {
        if (other < incarnation) {
            return false;
        }
        if (other > incarnation) {
            incarnation = other;
            drainAnnounced = false;
            connected = false;
        }
        return true;
    }
}
