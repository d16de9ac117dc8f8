package coriandersill.core;

/** A clock that never goes backwards, for measuring durations within one process. */
@FunctionalInterface
public interface MonotonicClock {

    /** The time in nanoseconds since an arbitrary origin. */
    long nanos();

    /** Returns the system clock, {@link System#nanoTime()}. */
    static MonotonicClock system() {
        return System::nanoTime;
    }
}
