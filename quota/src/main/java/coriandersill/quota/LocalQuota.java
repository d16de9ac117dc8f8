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
 * Divides each cap evenly by the number of live entries, without any message.
 *
 * <pre>{@code
 * LocalQuota quota = LocalQuota.create(clock);
 * quota.caps(Map.of(workspace, new QuotaAmount(64, 20_000)));
 * quota.liveEntries(3, 0);
 * }</pre>
 *
 * <p>While all entries see the same number, the sum over them is at most the cap. While some see fewer than there are,
 * it is above by at most the factor of the two numbers. An idle entry's share is lost. A workspace without a cap is not
 * limited.
 *
 * <p>Safe for use by many threads; its lock of rank {@link LockRank#QUOTA} guards the slices.
 */
public final class LocalQuota implements WorkspaceQuota {
    private final RankedLock lock = RankedLock.of(LockRank.QUOTA);
    private final MonotonicClock clock;
    private final Map<WorkspaceName, QuotaSlice> slices = new HashMap<>();
    private Map<WorkspaceName, QuotaAmount> caps = Map.of();
    private int entries = 1;
    private int position;

    private LocalQuota(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Returns a quota for a single entry that knows of no caps. */
    public static LocalQuota create(MonotonicClock clock) {
        return new LocalQuota(clock);
    }

    /** Replaces the caps of all workspaces. */
    public void setCaps(Map<WorkspaceName, QuotaAmount> values) {
        lock.run(() -> {
            caps = Map.copyOf(values);
            slices.keySet().retainAll(caps.keySet());
            refit();
        });
    }

    /** Sets the number of live entries, 1 or more; calls that do not divide evenly stay unused. */
    public void setLiveEntries(int count) {
        setLiveEntries(count, count - 1);
    }

    /**
     * Sets the number of live entries and this one's position among them, from 0, in an order that all share; the calls
     * that do not divide evenly go to the first ones.
     */
    public void setLiveEntries(int count, int ownPosition) {
        if (count < 1 || ownPosition < 0 || ownPosition >= count) {
            throw new IllegalArgumentException(
                    "live entries: expected 0 <= position < count, found " + ownPosition + " and " + count);
        }
        lock.run(() -> {
            entries = count;
            position = ownPosition;
            refit();
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
            return slices.computeIfAbsent(workspace, unused -> new QuotaSlice(part(cap), now))
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

    private void refit() {
        long now = clock.nanos();
        slices.forEach((workspace, slice) -> slice.floor(part(caps.get(workspace)), now));
    }

    private QuotaAmount part(QuotaAmount cap) {
        int calls = cap.concurrency() / entries + (position < cap.concurrency() % entries ? 1 : 0);
        return new QuotaAmount(calls, cap.tokensPerSecond() / entries);
    }
}
