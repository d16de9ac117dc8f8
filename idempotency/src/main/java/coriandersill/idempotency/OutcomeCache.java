package coriandersill.idempotency;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Keeps the newest bodies of outcomes within a number of bytes; not thread-safe. */
final class OutcomeCache {
    private static final long OVERHEAD_BYTES = 200;

    private final Map<ClaimKey, Outcome> outcomes = new LinkedHashMap<>();
    private final long maxBytes;
    private long bytes;

    OutcomeCache(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    void put(ClaimKey key, Outcome outcome) {
        if (!outcome.bodyKept()) {
            return;
        }
        Outcome replaced = outcomes.put(key, outcome);
        bytes += cost(outcome) - (replaced == null ? 0 : cost(replaced));
        Iterator<Outcome> eldest = outcomes.values().iterator();
        while (bytes > maxBytes && eldest.hasNext()) {
            bytes -= cost(eldest.next());
            eldest.remove();
        }
    }

    Outcome find(ClaimKey key, int status) {
        Outcome outcome = outcomes.get(key);
        return outcome == null ? Outcome.withoutBody(status) : outcome;
    }

    private static long cost(Outcome outcome) {
        return OVERHEAD_BYTES + outcome.body().length + outcome.contentType().length();
    }
}
