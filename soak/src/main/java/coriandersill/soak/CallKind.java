package coriandersill.soak;

/** The kinds of calls that callers make. */
enum CallKind {
    /** May run once. */
    BOOK("/books/", true, false),
    /** May run again. */
    LOOK("/looks/", false, false),
    /** A stream that may run once, but goes on elsewhere from a copy. */
    DRAFT("/drafts/", true, true),
    /** A stream that another run may go on with. */
    TAG("/tags/", false, true);

    private final String path;
    private final boolean atMostOnce;
    private final boolean streaming;

    CallKind(String path, boolean once, boolean stream) {
        this.path = path;
        this.atMostOnce = once;
        this.streaming = stream;
    }

    String path() {
        return path;
    }

    boolean atMostOnce() {
        return atMostOnce;
    }

    boolean streaming() {
        return streaming;
    }
}
