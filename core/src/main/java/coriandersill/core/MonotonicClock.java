package coriandersill.core;

/** A clock that never goes back, for durations within one process. */
@FunctionalInterface
public interface MonotonicClock {

    /** The time in nanoseconds since an arbitrary origin. */
    long nanos();

    /** Returns the clock of the running machine. */
    static MonotonicClock system() {
        return System::nanoTime;
    }
}
