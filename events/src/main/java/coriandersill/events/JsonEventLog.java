package coriandersill.events;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.InstantSource;
import java.util.Map;
import java.util.Objects;

/**
 * Writes each event as one JSON line to a {@link System.Logger}.
 *
 * <pre>{@code
 * EventLog events = JsonEventLog.of("entry-1", InstantSource.system());
 * events.record(EventCode.DAEMON_READY, Map.of("port", 8080));
 * }</pre>
 */
public final class JsonEventLog implements EventLog {
    private static final System.Logger LOGGER = System.getLogger("coriandersill");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String instance;
    private final InstantSource clock;

    private JsonEventLog(String instance, InstantSource clock) {
        this.instance = Objects.requireNonNull(instance, "instance");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Returns a log that names {@code instance} in each line. */
    public static JsonEventLog of(String instance, InstantSource clock) {
        return new JsonEventLog(instance, clock);
    }

    @Override
    public void record(EventCode code, Map<String, ?> details) {
        if (LOGGER.isLoggable(code.level())) {
            LOGGER.log(code.level(), line(code, details));
        }
    }

    /** Returns the line for an event. */
    String line(EventCode code, Map<String, ?> details) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("time", clock.instant().toString());
        node.put("event", code.number());
        node.put("name", code.name());
        node.put("instance", instance);
        node.put("text", code.text());
        details.forEach((field, value) -> {
            if (value != null) {
                node.put(field, value.toString());
            }
        });
        try {
            return MAPPER.writeValueAsString(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("event " + code + " cannot be written as JSON", e);
        }
    }
}
