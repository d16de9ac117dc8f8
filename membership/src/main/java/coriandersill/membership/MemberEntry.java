package coriandersill.membership;

/** What a {@link MembershipTable} keeps of one instance; guarded by the table's lock. */
final class MemberEntry {
    Member member;
    MemberState state = MemberState.GONE;
    long incarnation = Long.MIN_VALUE;
    boolean connected;
    boolean listed;
    boolean told;
    boolean leaving;
    int missedReads;
    int stayingReads;
    long lastHeardNanos;

    MemberEntry(Member member, long nowNanos) {
        this.member = member;
        this.lastHeardNanos = nowNanos;
    }

    /** A drain that was told counts while its connection is open; a restart comes back over a new one. */
    boolean draining() {
        return (told && connected) || leaving;
    }

    /** Takes over what belongs to a new incarnation; returns false for one that has been replaced. */
    boolean advance(long other) {
        if (other < incarnation) {
            return false;
        }
        if (other > incarnation) {
            incarnation = other;
            told = false;
            connected = false;
        }
        return true;
    }
}
