package coriandersill.soak;

/**
 * The result of a call as observed by the caller.
 *
 * @param id the identifier of the call, which is sent as its attempt identifier
 * @param kind the kind of call
 * @param entry the name of the entry to which it was sent
 * @param key the API key sent with it
 * @param sentAtNanos when it was sent, by {@link System#nanoTime}
 * @param endedAtNanos when its response was complete or had failed, by {@link System#nanoTime}
 * @param entrySettled whether, when it was sent, the entry had been undisturbed long enough for time limits to apply
 * @param status the HTTP status; 0 without a response
 * @param complete whether the response ended normally
 * @param body the part of the response body that arrived
 */
record CallResult(
        String id,
        CallKind kind,
        String entry,
        String key,
        long sentAtNanos,
        long endedAtNanos,
        boolean entrySettled,
        int status,
        boolean complete,
        String body) {

    /** Returns the same result, to which time limits do not apply. */
    CallResult ofUnsettledEntry() {
        return new CallResult(id, kind, entry, key, sentAtNanos, endedAtNanos, false, status, complete, body);
    }

    @Override
    public String toString() {
        return id + " " + kind + " at " + entry + " with " + key + ", status " + status
                + (complete ? ", complete, " : ", truncated, ") + body.length() + " bytes";
    }
}
