package coriandersill.sharedlog;

import java.util.List;

/**
 * A run of records of one stream.
 *
 * @param oldest the oldest offset that the log still keeps
 * @param end the offset that the next record will have
 * @param records the records in order of offset
 */
public record LogPage(long oldest, long end, List<LogRecord> records) {

    /** Copies the records. */
    public LogPage {
        records = List.copyOf(records);
    }
}
