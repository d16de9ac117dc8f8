package coriandersill.sharedlog;

import coriandersill.core.ManualClock;
import java.time.Duration;
import java.util.PriorityQueue;

/**
 * A scheduler in virtual time: tasks run in order of their due time, on the thread that advances it.
 *
 * <pre>{@code
 * ManualScheduler scheduler = ManualScheduler.of(clock);
 * scheduler.schedule(Duration.ofMillis(5), () -> executed.add("a"));
 * scheduler.advance(Duration.ofMillis(5));
 * }</pre>
 *
 * <p>For tests and simulations; not thread-safe.
 */
public final class ManualScheduler implements Scheduler {
    private final ManualClock clock;
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long sequence;

    private ManualScheduler(ManualClock clock) {
        this.clock = clock;
    }

    /** Returns a scheduler that advances {@code clock} when it is advanced. */
    public static ManualScheduler of(ManualClock clock) {
        return new ManualScheduler(clock);
    }

    @Override
    public ScheduledTask schedule(Duration delay, Runnable task) {
        Task scheduled = new Task(clock.nanos() + Math.max(0, delay.toNanos()), sequence++, task);
        tasks.add(scheduled);
        return () -> tasks.remove(scheduled);
    }

    /** Returns the number of scheduled tasks. */
    public int pendingTaskCount() {
        return tasks.size();
    }

    /** Advances time by {@code step} and runs every task that becomes due, including those scheduled by these tasks. */
    public void advance(Duration step) {
        long untilNanos = clock.nanos() + step.toNanos();
        while (!tasks.isEmpty() && tasks.peek().dueNanos() <= untilNanos) {
            Task task = tasks.poll();
            clock.advance(Duration.ofNanos(Math.max(0, task.dueNanos() - clock.nanos())));
            task.body().run();
        }
        clock.advance(Duration.ofNanos(Math.max(0, untilNanos - clock.nanos())));
    }

    private record Task(long dueNanos, long sequence, Runnable body) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(dueNanos, other.dueNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
