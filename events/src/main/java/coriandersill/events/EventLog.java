package coriandersill.events;

import java.util.Map;

/** Records events. Implementations are thread-safe. */
@FunctionalInterface
public interface EventLog {

    /** Records an occurrence of {@code code} with its details by field name; null values are omitted. */
    void record(EventCode code, Map<String, ?> details);

    /** Returns a log that discards every event. */
    static EventLog none() {
        return (code, details) -> {};
    }
}
