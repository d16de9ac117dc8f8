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
 * The quota of one entry: a share of its region's floor, which needs no grant, plus time-limited grants from the home
 * of each workspace ({@link HomeSelector}).
 *
 * <p>The caller sends {@link #collectDemands()} to the homes several times per term ({@link QuotaGrant#termNanos}) and
 * passes each answer to {@link #applyGrant} together with the time at which the demand was sent. An entry that cannot
 * reach a home still has its floor.
 *
 * <p>Thread-safe: a lock of rank {@link LockRank#QUOTA} guards the slices.
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

    /** Returns the quota of the entry {@code self}, initially without floors, so that no workspace is limited. */
    public static GrantedQuota create(MonotonicClock clock, InstanceId self) {
        return new GrantedQuota(clock, self);
    }

    /**
     * Replaces this region's floor for each capped workspace. The floors of all regions add up to the part of the cap
     * that needs no grant.
     */
    public void setRegionFloors(Map<WorkspaceName, QuotaAmount> floors) {
        lock.run(() -> {
            regionFloors = Map.copyOf(floors);
            slices.keySet().retainAll(regionFloors.keySet());
            updateSliceFloors();
        });
    }

    /** Sets the number of live entries in this region, at least 1; each has an equal share of the floors. */
    public void setEntriesInRegion(int count) {
        if (count < 1) {
            throw new IllegalArgumentException("entries in region: expected at least 1, found " + count);
        }
        lock.run(() -> {
            entriesInRegion = count;
            updateSliceFloors();
        });
    }

    @Override
    public Optional<CallFailure> tryAcquire(WorkspaceName workspace, int expectedTokens) {
        return lock.with(() -> {
            QuotaAmount regionFloor = regionFloors.get(workspace);
            if (regionFloor == null) {
                return Optional.empty();
            }
            long now = clock.nanos();
            return slices.computeIfAbsent(workspace, unused -> new QuotaSlice(entryFloor(regionFloor), now))
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

    /**
     * Returns the demands to send to the homes, estimated from the use since this method was last invoked, and removes
     * the slices of idle workspaces.
     */
    public List<QuotaDemand> collectDemands() {
        return lock.with(() -> {
            long now = clock.nanos();
            slices.values().removeIf(slice -> slice.isIdle(now));
            List<QuotaDemand> demands = new ArrayList<>();
            slices.forEach((workspace, slice) ->
                    demands.add(new QuotaDemand(self, workspace, slice.takeDemand(now), slice.runningBeyondFloor())));
            return demands;
        });
    }

    /**
     * Applies the answer to a demand that was sent at {@code sentNanos}.
     *
     * @return false if the answer was rejected because it came from an earlier home, it answers an older demand than
     *     the current grant, or the workspace has no slice
     */
    public boolean applyGrant(QuotaGrant grant, long sentNanos) {
        return lock.with(() -> {
            QuotaSlice slice = slices.get(grant.workspace());
            return slice != null && slice.applyGrant(grant, sentNanos, clock.nanos());
        });
    }

    private void updateSliceFloors() {
        long now = clock.nanos();
        slices.forEach((workspace, slice) -> slice.setFloor(entryFloor(regionFloors.get(workspace)), now));
    }

    private QuotaAmount entryFloor(QuotaAmount regionFloor) {
        return regionFloor.scaledBy(1.0 / entriesInRegion);
    }
}
