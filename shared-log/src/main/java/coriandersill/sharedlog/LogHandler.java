package coriandersill.sharedlog;

/** Takes the records of one stream from a {@link LogFollower}, one at a time and in order of offset. */
@FunctionalInterface
public interface LogHandler {

    /** Takes one record. */
    void handle(LogRecord record);
}
