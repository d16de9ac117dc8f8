package coriandersill.experiment;

import coriandersill.core.ManualClock;
import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in the order of their virtual times; actions with equal times run in the order of scheduling. */
final class EventQueue {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::timeNanos).thenComparingLong(Event::order));
    private final ManualClock clock;
    private long nextOrder;

    EventQueue(ManualClock clock) {
        this.clock = clock;
    }

    long nowNanos() {
        return clock.nanos();
    }

    void schedule(long delayNanos, Runnable action) {
        events.add(new Event(nowNanos() + delayNanos, nextOrder++, action));
    }

    /** Advances the clock to the next action and runs it; returns false if there is none. */
    boolean runNext() {
        Event event = events.poll();
        if (event == null) {
            return false;
        }
        clock.advance(Duration.ofNanos(event.timeNanos() - nowNanos()));
        event.action().run();
        return true;
    }

    /** An action with its virtual time, and its sequence number for ties. */
    private record Event(long timeNanos, long order, Runnable action) {}
}
