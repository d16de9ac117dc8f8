package coriandersill.upstreams;

/**
 * Tells which listings of one identifier are older than those already seen, because their writing was delayed. Each
 * incarnation counts its listings from its start on; the starts themselves are no order, since clocks step. Not
 * thread-safe.
 */
final class ListingOrder {
    private Position latest;
    private Position previous;

    /** The last listing that was older than the latest one by its count. */
    private Position ignored;

    /**
     * The count of a listing.
     *
     * @param startedAtMillis the start of its incarnation, which tells incarnations apart
     */
    private record Position(long startedAtMillis, long sequence) {}

    /** Returns whether this is the incarnation of the latest listing. */
    boolean isLatest(long startedAtMillis) {
        return latest != null && startedAtMillis == latest.startedAtMillis();
    }

    /**
     * Returns whether the listing is older than the latest one, which is remembered: an incarnation that counts on from
     * there runs, so that the latest count was not its own, and its next listing is not outdated.
     */
    boolean isOutdated(long startedAtMillis, long sequence) {
        boolean outdated = isBehind(startedAtMillis, sequence) && !countsOn(startedAtMillis, sequence);
        ignored = outdated ? new Position(startedAtMillis, sequence) : null;
        return outdated;
    }

    private boolean countsOn(long startedAtMillis, long sequence) {
        return ignored != null && startedAtMillis == ignored.startedAtMillis() && sequence > ignored.sequence();
    }

    private boolean isBehind(long startedAtMillis, long sequence) {
        if (sequence == UpstreamTable.UNKNOWN_SEQUENCE || latest == null) {
            return false;
        }
        if (isLatest(startedAtMillis)) {
            return sequence < latest.sequence();
        }
        // An incarnation that still ran would count on.
        return previous != null && startedAtMillis == previous.startedAtMillis() && sequence <= previous.sequence();
    }

    /** Records a listing that was applied; its count, if it has one, is from then on the latest one. */
    void advance(long startedAtMillis, long sequence) {
        if (!isLatest(startedAtMillis)) {
            previous = latest;
        } else if (sequence == UpstreamTable.UNKNOWN_SEQUENCE) {
            return;
        }
        latest = new Position(startedAtMillis, sequence);
    }
}
