package coriandersill.core.lock;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/**
 * A lock over one shared table, with a rank that fixes the order of acquisition.
 *
 * <pre>{@code
 * private final RankedLock lock = RankedLock.of(LockRank.ROUTING);
 *
 * int inFlight() {
 *     return lock.with(() -> inFlight);
 * }
 * }</pre>
 *
 * <p>Under assertions, taking a lock while holding one of the same or a later rank fails with {@link AssertionError}.
 * The same lock may be taken again by its holder.
 */
public final class RankedLock {
    private static final ThreadLocal<Deque<RankedLock>> HELD = ThreadLocal.withInitial(ArrayDeque::new);

    private final LockRank rank;
    private final ReentrantLock lock = new ReentrantLock();

    private RankedLock(LockRank rank) {
        this.rank = Objects.requireNonNull(rank, "rank");
    }

    /** Returns a new lock of the given rank. */
    public static RankedLock of(LockRank rank) {
        return new RankedLock(rank);
    }

    /** Runs {@code body} under the lock and returns its result. */
    public <T> T with(Supplier<T> body) {
        acquire();
        try {
            return body.get();
        } finally {
            release();
        }
    }

    /** Runs {@code body} under the lock. */
    public void run(Runnable body) {
        acquire();
        try {
            body.run();
        } finally {
            release();
        }
    }

    /** Whether the calling thread holds this lock. */
    public boolean isHeldByCurrentThread() {
        return lock.isHeldByCurrentThread();
    }

    private void acquire() {
        assert inOrder() : "lock " + rank + " taken while holding " + HELD.get().peek().rank;
        lock.lock();
        assert push();
    }

    private void release() {
        assert pop();
        lock.unlock();
    }

    private boolean inOrder() {
        RankedLock last = HELD.get().peek();
        return last == null || lock.isHeldByCurrentThread() || last.rank.compareTo(rank) < 0;
    }

    private boolean push() {
        HELD.get().push(this);
        return true;
    }

    private boolean pop() {
        HELD.get().pop();
        return true;
    }
}
