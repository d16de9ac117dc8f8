package coriandersill.quota;

import coriandersill.core.CallFailure;
import coriandersill.core.MonotonicClock;
import coriandersill.core.WorkspaceName;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Gives each live entry an equal share of every cap, without communication between the entries.
 *
 * <pre>{@code
 * LocalQuota quota = LocalQuota.create(clock);
 * quota.setCaps(Map.of(workspace, new QuotaAmount(64, 20_000)));
 * quota.setLiveEntries(3, 0);
 * }</pre>
 *
 * <p>While all entries see the same number of live entries, their shares add up to at most the cap. While some see
 * fewer than there are, the sum is at most the cap times the ratio of the actual number to the smallest number that an
 * entry sees. The share of an idle entry is unused. A workspace without a cap is not limited.
 *
 * <p>Thread-safe: a lock of rank {@link LockRank#QUOTA} guards the slices.
 */
public final class LocalQuota implements WorkspaceQuota {
    private final RankedLock lock = RankedLock.of(LockRank.QUOTA);
    private final MonotonicClock clock;
    private final Map<WorkspaceName, QuotaSlice> slices = new HashMap<>();
    private Map<WorkspaceName, QuotaAmount> caps = Map.of();
    private int entryCount = 1;
    private int position;

    private LocalQuota(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Returns a quota for a single live entry, initially without caps. */
    public static LocalQuota create(MonotonicClock clock) {
        return new LocalQuota(clock);
    }

    /** Replaces the caps of all workspaces. */
    public void setCaps(Map<WorkspaceName, QuotaAmount> values) {
        lock.run(() -> {
            caps = Map.copyOf(values);
            slices.keySet().retainAll(caps.keySet());
            updateSliceFloors();
        });
    }

    /** Sets the number of live entries, at least 1; the remainder of a concurrency cap stays unused. */
    public void setLiveEntries(int count) {
        // The last position never receives a part of the remainder.
        setLiveEntries(count, count - 1);
    }

    /**
     * Sets the number of live entries and this entry's zero-based position in an order that all entries agree on; the
     * remainder of a concurrency cap goes to the first entries, one call each.
     */
    public void setLiveEntries(int count, int ownPosition) {
        if (count < 1 || ownPosition < 0 || ownPosition >= count) {
            throw new IllegalArgumentException(
                    "live entries: expected 0 <= position < count, found " + ownPosition + " and " + count);
        }
        lock.run(() -> {
            entryCount = count;
            position = ownPosition;
            updateSliceFloors();
        });
    }

    @Override
    public Optional<CallFailure> tryAcquire(WorkspaceName workspace, int expectedTokens) {
        return lock.with(() -> {
            QuotaAmount cap = caps.get(workspace);
            if (cap == null) {
                return Optional.empty();
            }
            long now = clock.nanos();
            return slices.computeIfAbsent(workspace, unused -> new QuotaSlice(entryShare(cap), now))
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

    /** Sets the floor of each slice to the entry's whole share, because no grants extend it. */
    private void updateSliceFloors() {
        long now = clock.nanos();
        slices.forEach((workspace, slice) -> slice.setFloor(entryShare(caps.get(workspace)), now));
    }

    private QuotaAmount entryShare(QuotaAmount cap) {
        int calls = cap.concurrency() / entryCount + (position < cap.concurrency() % entryCount ? 1 : 0);
        return new QuotaAmount(calls, cap.tokensPerSecond() / entryCount);
    }
}
