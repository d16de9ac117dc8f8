package coriandersill.standins.platform;

import java.time.Duration;

/**
 * Injects faults into an {@link InMemoryLog}.
 *
 * <p>Instances are thread-safe.
 */
public final class LogFaults {
    private final InMemoryLog log;

    LogFaults(InMemoryLog log) {
        this.log = log;
    }

    /** Makes all appends and reads fail, including pending reads, until called with false. */
    public void setDown(boolean down) {
        log.setDown(down);
    }

    /** Delays every response; requires a log that was created with a scheduler. */
    public void setResponseDelay(Duration delay) {
        log.setResponseDelay(delay);
    }

    /** Makes the next {@code count} appends take effect but fail as if their response were lost. */
    public void loseResponses(int count) {
        log.setResponsesToLose(count);
    }

    /** Deletes the records of {@code stream} before {@code oldestOffset}. */
    public void trim(String stream, long oldestOffset) {
        log.trim(stream, oldestOffset);
    }

    /** Deletes all records of {@code stream} and restarts its offsets at 0. */
    public void restart(String stream) {
        log.restart(stream);
    }

    /** Skips the next {@code count} offsets of {@code stream}, which leaves a gap. */
    public void skipOffsets(String stream, int count) {
        log.skipOffsets(stream, count);
    }

    /** Makes each of the next {@code readCount} reads start one record before the requested offset. */
    public void startReadsEarly(int readCount) {
        log.setReadsStartingEarly(readCount);
    }
}
