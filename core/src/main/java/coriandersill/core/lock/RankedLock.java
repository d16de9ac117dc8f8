package coriandersill.core.lock;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/**
 * A reentrant lock that guards one shared table and has a rank in the acquisition order.
 *
 * <pre>{@code
 * private final RankedLock lock = RankedLock.of(LockRank.ROUTING);
 *
 * int inFlight() {
 *     return lock.with(() -> inFlight);
 * }
 * }</pre>
 *
 * <p>With assertions enabled, acquiring a lock while holding another of the same or a later rank throws
 * {@link AssertionError}. The holder may acquire the same lock again.
 */
public final class RankedLock {
    private static final ThreadLocal<Deque<RankedLock>> HELD_LOCKS = ThreadLocal.withInitial(ArrayDeque::new);

    private final LockRank rank;
    private final ReentrantLock lock = new ReentrantLock();

    private RankedLock(LockRank rank) {
        this.rank = Objects.requireNonNull(rank, "rank");
    }

    /** Returns a new lock of the given rank. */
    public static RankedLock of(LockRank rank) {
        return new RankedLock(rank);
    }

    /** Runs {@code body} while holding the lock and returns its result. */
    public <T> T with(Supplier<T> body) {
        acquire();
        try {
            return body.get();
        } finally {
            release();
        }
    }

    /** Runs {@code body} while holding the lock. */
    public void run(Runnable body) {
        acquire();
        try {
            body.run();
        } finally {
            release();
        }
    }

    /** Whether the current thread holds this lock. */
    public boolean isHeldByCurrentThread() {
        return lock.isHeldByCurrentThread();
    }

    private void acquire() {
        assert isInRankOrder()
                : "lock " + rank + " taken while holding " + HELD_LOCKS.get().peek().rank
                        + "; expected a later rank than that of the lock held";
        lock.lock();
        assert recordAcquired();
    }

    private void release() {
        assert recordReleased();
        lock.unlock();
    }

    private boolean isInRankOrder() {
        RankedLock last = HELD_LOCKS.get().peek();
        return last == null || lock.isHeldByCurrentThread() || last.rank.compareTo(rank) < 0;
    }

    private boolean recordAcquired() {
        HELD_LOCKS.get().push(this);
        return true;
    }

    private boolean recordReleased() {
        HELD_LOCKS.get().pop();
        return true;
    }
}
