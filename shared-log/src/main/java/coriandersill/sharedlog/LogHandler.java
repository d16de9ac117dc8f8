package coriandersill.sharedlog;

/** Receives the records of one stream from a {@link LogFollower}, one at a time and in order of offset. */
@FunctionalInterface
public interface LogHandler {

    /** Handles one record. */
    void handle(LogRecord record);
}
