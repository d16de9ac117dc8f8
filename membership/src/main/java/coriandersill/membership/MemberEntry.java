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

    boolean draining() {
        return told || leaving;
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
