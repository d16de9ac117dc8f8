package coriandersill.standins.platform;

import java.time.Duration;

/**
 * The faults of one {@link InMemoryLog}, each brought about by a call.
 *
 * <p>It may be used from any thread.
 */
public final class LogFaults {
    private final InMemoryLog log;

    LogFaults(InMemoryLog log) {
        this.log = log;
    }

    /** Refuses every append and read, those that wait included, until called with false. */
    public void setDown(boolean down) {
        log.setDown(down);
    }

    /** Lets every answer come late by {@code delay}; needs a log that was made with a scheduler. */
    public void setResponseDelay(Duration delay) {
        log.setResponseDelay(delay);
    }

    /** Lets the next {@code count} appends take effect and loses their answers. */
    public void loseResponses(int count) {
        log.setLostResponses(count);
    }

    /** Drops the records of {@code stream} before offset {@code oldest}. */
    public void trim(String stream, long oldest) {
        log.trim(stream, oldest);
    }

    /** Empties {@code stream} and begins its offsets at 0 again. */
    public void restart(String stream) {
        log.restart(stream);
    }

    /** Leaves out the next {@code count} offsets of {@code stream}. */
    public void skipOffsets(String stream, int count) {
        log.skipOffsets(stream, count);
    }

    /** Gives the last record before a read's offset again with each of the next {@code count} reads. */
    public void repeatRecords(int count) {
        log.setRepeatedReads(count);
    }
}
