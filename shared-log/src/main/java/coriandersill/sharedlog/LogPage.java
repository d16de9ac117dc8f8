package coriandersill.sharedlog;

import java.util.List;

/**
 * Consecutive records of one stream, as returned by one read.
 *
 * @param oldest the oldest offset that the log retains
 * @param end the offset that the next appended record will get
 * @param records the records in order of offset
 */
public record LogPage(long oldest, long end, List<LogRecord> records) {

    /** Copies the records. */
    public LogPage {
        records = List.copyOf(records);
    }
}
