package coriandersill.events;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
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
    /** The name of the logger to which all events are written. */
    static final String LOGGER_NAME = "coriandersill";

    private static final System.Logger LOGGER = System.getLogger(LOGGER_NAME);
    private static final JsonFactory JSON = new JsonFactory();

    private final String instance;
    private final InstantSource clock;

    private JsonEventLog(String instance, InstantSource clock) {
        this.instance = Objects.requireNonNull(instance, "instance");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Returns a log that includes {@code instance} in each line. */
    public static JsonEventLog of(String instance, InstantSource clock) {
        return new JsonEventLog(instance, clock);
    }

    @Override
    public void record(EventCode code, Map<String, ?> details) {
        if (LOGGER.isLoggable(code.level())) {
            LOGGER.log(code.level(), toJson(code, details));
        }
    }

    /** Formats an event as one line of JSON. */
    String toJson(EventCode code, Map<String, ?> details) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("time", clock.instant().toString());
            json.writeNumberField("event", code.number());
            json.writeStringField("name", code.name());
            json.writeStringField("instance", instance);
            json.writeStringField("text", code.text());
            for (Map.Entry<String, ?> detail : details.entrySet()) {
                if (detail.getValue() != null) {
                    json.writeStringField(detail.getKey(), detail.getValue().toString());
                }
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("cannot serialize event " + code + " as JSON", e);
        }
        return text.toString();
    }
}
