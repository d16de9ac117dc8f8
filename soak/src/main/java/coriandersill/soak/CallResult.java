package coriandersill.soak;

/**
 * A call as its caller saw it.
 *
 * @param id the identifier of the attempt
 * @param kind its kind
 * @param entry the name of the entry that took it
 * @param key the key that it bore
 * @param sentAtNanos when it was sent, in nanoseconds
 * @param entrySettled whether the entry was undisturbed for some seconds when it was sent
 * @param status the status of its answer; 0 if there was none
 * @param complete whether the answer ended as it should
 * @param body what came of the answer's body
 */
record CallResult(
        String id,
        CallKind kind,
        String entry,
        String key,
        long sentAtNanos,
        boolean entrySettled,
        int status,
        boolean complete,
        String body) {

    @Override
    public String toString() {
        return id + " " + kind + " at " + entry + " with " + key + ", status " + status
                + (complete ? ", whole, " : ", broken off, ") + body.length() + " bytes";
    }
}
