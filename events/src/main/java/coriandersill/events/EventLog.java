package coriandersill.events;

import java.util.Map;

/** Takes events; implementations are safe for use by many threads. */
@FunctionalInterface
public interface EventLog {

    /** Records that {@code code} happened, with its details by field name; null values are left out. */
    void record(EventCode code, Map<String, ?> details);

    /** Returns a log that forgets every event. */
    static EventLog none() {
        return (code, details) -> {};
    }
}
