package coriandersill.quota;

import coriandersill.core.CallFailure;
import coriandersill.core.InstanceId;
import coriandersill.core.MonotonicClock;
import coriandersill.core.WorkspaceName;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Admits at one entry within a floor of its region and the slices that the homes of the workspaces grant.
 *
 * <p>The caller sends {@link #collectDemands()} to the homes a few times in each term and passes the answers to
 * {@link #applyGrant} with the time of sending. An entry that hears from no home keeps its floor.
 *
 * <p>Safe for use by many threads; its lock of rank {@link LockRank#QUOTA} guards the slices.
 */
public final class GrantedQuota implements WorkspaceQuota {
    private final RankedLock lock = RankedLock.of(LockRank.QUOTA);
    private final MonotonicClock clock;
    private final InstanceId self;
    private final Map<WorkspaceName, QuotaSlice> slices = new HashMap<>();
    private Map<WorkspaceName, QuotaAmount> regionFloors = Map.of();
    private int entriesInRegion = 1;

    private GrantedQuota(MonotonicClock clock, InstanceId self) {
        this.clock = clock;
        this.self = self;
    }

    /** Returns the quota of the entry {@code self}, which knows of no caps. */
    public static GrantedQuota create(MonotonicClock clock, InstanceId self) {
        return new GrantedQuota(clock, self);
    }

    /** Replaces the floors that this region has of each capped workspace; those of all regions add up to the cap's. */
    public void setRegionFloors(Map<WorkspaceName, QuotaAmount> floors) {
        lock.run(() -> {
            regionFloors = Map.copyOf(floors);
            slices.keySet().retainAll(regionFloors.keySet());
            refit();
        });
    }

    /** Sets the number of live entries of this region, 1 or more, which divide the floors. */
    public void setEntriesInRegion(int count) {
        if (count < 1) {
            throw new IllegalArgumentException("entries in region: expected 1 or more, found " + count);
        }
        lock.run(() -> {
            entriesInRegion = count;
            refit();
        });
    }

    @Override
    public Optional<CallFailure> tryAcquire(WorkspaceName workspace, int expectedTokens) {
        return lock.with(() -> {
            QuotaAmount floor = regionFloors.get(workspace);
            if (floor == null) {
                return Optional.empty();
            }
            long now = clock.nanos();
            return slices.computeIfAbsent(workspace, unused -> new QuotaSlice(part(floor), now))
                    .tryAcquire(expectedTokens, now);
        });
    }

    @Override
    public void settle(WorkspaceName workspace, int expectedTokens, int actualTokens) {
        lock.run(() -> {
            QuotaSlice slice = slices.get(workspace);
            if (slice != null) {
                slice.settle(expectedTokens, actualTokens);
            }
        });
    }

    /** Returns what to ask the homes for now, and forgets slices that are no longer used. */
    public List<QuotaDemand> collectDemands() {
        return lock.with(() -> {
            long now = clock.nanos();
            slices.values().removeIf(slice -> slice.idle(now));
            List<QuotaDemand> demands = new ArrayList<>();
            slices.forEach((workspace, slice) ->
                    demands.add(new QuotaDemand(self, workspace, slice.wanted(now), slice.runningOnGrant())));
            return demands;
        });
    }

    /** Takes the answer to a demand that was sent at {@code sentNanos}; returns false for one of an older home. */
    public boolean applyGrant(QuotaGrant grant, long sentNanos) {
        return lock.with(() -> {
            QuotaSlice slice = slices.get(grant.workspace());
            return slice != null && slice.granted(grant, sentNanos, clock.nanos());
        });
    }

    private void refit() {
        long now = clock.nanos();
        slices.forEach((workspace, slice) -> slice.floor(part(regionFloors.get(workspace)), now));
    }

    private QuotaAmount part(QuotaAmount floor) {
        return floor.scaledBy(1.0 / entriesInRegion);
    }
}
