package coriandersill.quarantine;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/** Whether a generation may be sent to an engine. */
public sealed interface QuarantineDecision {

    /** The generation may be sent. */
    record Admitted() implements QuarantineDecision {}

    /**
     * The generation may be sent, to test whether a part still crashes engines.
     *
     * @param verdict the verdict on the part
     */
    record Probe(QuarantineVerdict verdict) implements QuarantineDecision {}

    /**
     * The generation must not be sent.
     *
     * @param verdict the verdict on one of its parts
     * @param lastCrashAge the time since the last crash that this entry knows of
     * @param retryAfter the time until the part may be tested again
     */
    record Refused(QuarantineVerdict verdict, Duration lastCrashAge, Duration retryAfter)
            implements QuarantineDecision {

        /** Returns the evidence by name, for a log line. */
        public Map<String, Object> evidence() {
            Map<String, Object> evidence = new LinkedHashMap<>(verdict.evidence());
            evidence.put("last_crash_age_ms", lastCrashAge.toMillis());
            return evidence;
        }
    }
}
