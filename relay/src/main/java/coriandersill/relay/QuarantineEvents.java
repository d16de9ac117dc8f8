package coriandersill.relay;

import coriandersill.events.EventCode;
import coriandersill.events.EventLog;
import coriandersill.quarantine.PromptPart;
import coriandersill.quarantine.QuarantineObserver;
import coriandersill.quarantine.QuarantineVerdict;
import java.util.Map;
import java.util.Objects;

/** Writes the changes of a quarantine of prompt parts to an event log. */
public final class QuarantineEvents implements QuarantineObserver {
    private final EventLog events;

    private QuarantineEvents(EventLog events) {
        this.events = Objects.requireNonNull(events, "events");
    }

    /** Returns an observer that writes to {@code events}. */
    public static QuarantineEvents of(EventLog events) {
        return new QuarantineEvents(events);
    }

    @Override
    public void quarantined(QuarantineVerdict verdict) {
        events.record(EventCode.PART_QUARANTINED, verdict.evidence());
    }

    @Override
    public void released(PromptPart part, Reason reason) {
        events.record(EventCode.PART_RELEASED, Map.of("part", part, "reason", reason));
    }
}
