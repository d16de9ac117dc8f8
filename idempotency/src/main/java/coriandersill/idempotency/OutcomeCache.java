package coriandersill.idempotency;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Caches the most recent outcomes that have a body, up to a total size; not thread-safe. */
final class OutcomeCache {
    /** Counted for each entry in addition to its body and media type. */
    private static final long ENTRY_OVERHEAD_BYTES = 200;

    private final Map<ClaimKey, Outcome> outcomes = new LinkedHashMap<>();
    private final long maxBytes;
    private long totalBytes;

    OutcomeCache(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    void put(ClaimKey key, Outcome outcome) {
        if (!outcome.bodyKept()) {
            return;
        }
        Outcome replaced = outcomes.put(key, outcome);
        totalBytes += sizeBytes(outcome) - (replaced == null ? 0 : sizeBytes(replaced));
        Iterator<Outcome> eldest = outcomes.values().iterator();
        while (totalBytes > maxBytes && eldest.hasNext()) {
            totalBytes -= sizeBytes(eldest.next());
            eldest.remove();
        }
    }

    Outcome find(ClaimKey key, int status) {
        Outcome outcome = outcomes.get(key);
        return outcome == null ? Outcome.withoutBody(status) : outcome;
    }

    private static long sizeBytes(Outcome outcome) {
        return ENTRY_OVERHEAD_BYTES
                + outcome.body().length
                + outcome.contentType().length();
    }
}
