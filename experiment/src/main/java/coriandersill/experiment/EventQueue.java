package coriandersill.experiment;

import coriandersill.core.ManualClock;
import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in the order of their virtual times, and of their scheduling among equal times. */
final class EventQueue {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final ManualClock clock;
    private long nextOrder;

    EventQueue(ManualClock clock) {
        this.clock = clock;
    }

    long now() {
        return clock.nanos();
    }

    void after(long delayNanos, Runnable action) {
        events.add(new Event(now() + delayNanos, nextOrder++, action));
    }

    /** Runs the next action; returns false when there is none. */
    boolean runNext() {
        Event event = events.poll();
        if (event == null) {
            return false;
        }
        clock.advance(Duration.ofNanos(event.at() - now()));
        event.action().run();
        return true;
    }

    /** An action and when it runs. */
    private record Event(long at, long order, Runnable action) {}
}
