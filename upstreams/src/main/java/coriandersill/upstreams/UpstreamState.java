package coriandersill.upstreams;

import coriandersill.core.ServiceName;
import java.time.Duration;

/**
 * What is known of one incarnation of an upstream by its listings and its connections. Times are readings of one
 * monotonic clock, in nanoseconds, and null if they do not apply. Not thread-safe: guarded by the lock of its
 * {@link UpstreamTable}.
 */
final class UpstreamState {
    /**
     * How long an upstream is avoided after one failed connection; doubles with each consecutive failure, at most
     * {@link #MAX_DOUBLINGS} times.
     */
    private static final Duration INITIAL_AVOIDANCE_TIME = Duration.ofMillis(300);

    private static final int MAX_DOUBLINGS = 4;

    /** Listings that state ends of a cold start closer than this state the same end. */
    private static final Duration MAX_COLD_TIME_DIFFERENCE = Duration.ofMillis(500);

    private Upstream upstream;
    private Long coldUntilNanos;
    private Long leavingSinceNanos;
    private Long graceEndNanos;
    private Long avoidedUntilNanos;
    private int consecutiveFailures;

    /** Whether the upstream is listed, as far as is known. */
    private boolean listed = true;

    private final ListingOrder listingOrder;

    UpstreamState(Upstream upstream, ListingOrder listingOrder) {
        this.upstream = upstream;
        this.listingOrder = listingOrder;
    }

    /** Returns the order of the listings of all incarnations with this identifier. */
    ListingOrder listingOrder() {
        return listingOrder;
    }

    Upstream upstream() {
        return upstream;
    }

    boolean isOf(ServiceName service) {
        return upstream.service().equals(service);
    }

    boolean isIncarnation(Upstream other) {
        return upstream.startedAtMillis() == other.startedAtMillis();
    }

    boolean isListed() {
        return listed;
    }

    boolean isLeaving() {
        return leavingSinceNanos != null;
    }

    boolean isLeavingTimeOver(long leavingTimeNanos, long now) {
        return leavingSinceNanos != null && now - leavingSinceNanos > leavingTimeNanos;
    }

    boolean isInService(long now) {
        return leavingSinceNanos == null && !isGracePeriodOver(now);
    }

    boolean isAvoided(long now) {
        return avoidedUntilNanos != null && now - avoidedUntilNanos < 0;
    }

    boolean isCold(long now) {
        return coldUntilNanos != null && now - coldUntilNanos < 0;
    }

    /** Returns whether a listing says nothing that is not known already. */
    boolean isRepeatedBy(Upstream listing, boolean leaving, Duration coldFor, long now) {
        return upstream.equals(listing)
                && graceEndNanos == null
                && isLeaving() == leaving
                && isSameColdness(coldFor, now);
    }

    /** Returns whether the upstream is cold until about the time that is already known. */
    private boolean isSameColdness(Duration coldFor, long now) {
        if (coldUntilNanos == null || coldFor.isZero()) {
            return coldUntilNanos == null && coldFor.isZero();
        }
        long differenceNanos = now + coldFor.toNanos() - coldUntilNanos;
        return Math.abs(differenceNanos) < MAX_COLD_TIME_DIFFERENCE.toNanos();
    }

    /** Applies a listing. */
    void list(Upstream listing, boolean leaving, Duration coldFor, long now) {
        upstream = listing;
        listed = true;
        graceEndNanos = null;
        coldUntilNanos = coldFor.isZero() ? null : (Long) (now + coldFor.toNanos());
        if (!leaving) {
            leavingSinceNanos = null;
        } else if (leavingSinceNanos == null) {
            leavingSinceNanos = now;
        }
    }

    /**
     * Records that the listing ended.
     *
     * @param gracePeriod how long the upstream stays in service because its listing may come back
     * @return whether the upstream begins to leave by that
     */
    boolean unlist(Duration gracePeriod, long now) {
        if (leavingSinceNanos != null) {
            listed = false;
            return false;
        }
        listed = !gracePeriod.isZero();
        if (gracePeriod.isZero()) {
            leavingSinceNanos = now;
            return true;
        }
        if (graceEndNanos == null) {
            graceEndNanos = now + gracePeriod.toNanos();
        }
        return false;
    }

    void beginLeaving(long now) {
        leavingSinceNanos = now;
    }

    /** Lets the upstream leave if its grace period is over; returns whether it begins to leave by that. */
    boolean endGracePeriod(long now) {
        if (!isGracePeriodOver(now) || leavingSinceNanos != null) {
            return false;
        }
        leavingSinceNanos = now;
        listed = false;
        return true;
    }

    private boolean isGracePeriodOver(long now) {
        return graceEndNanos != null && now - graceEndNanos >= 0;
    }

    /** Avoids the upstream for a time that grows with each consecutive failure. */
    void connectionFailed(long now) {
        avoidedUntilNanos = now + (INITIAL_AVOIDANCE_TIME.toNanos() << Math.min(consecutiveFailures, MAX_DOUBLINGS));
        consecutiveFailures++;
    }

    /** Ends the avoidance. */
    void connectionSucceeded() {
        consecutiveFailures = 0;
        avoidedUntilNanos = null;
    }
}
