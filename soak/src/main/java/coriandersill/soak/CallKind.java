package coriandersill.soak;

/** The kinds of calls that the load generator makes. */
enum CallKind {
    /** A plain call that may run at most once. */
    BOOK("/books/", true, false),
    /** A plain call that may be repeated. */
    LOOK("/looks/", false, false),
    /** A stream that may run at most once, but may continue on another engine from a copy of its state. */
    DRAFT("/drafts/", true, true),
    /** A stream that another engine may continue by running the call again. */
    TAG("/tags/", false, true);

    private final String path;
    private final boolean atMostOnce;
    private final boolean streaming;

    CallKind(String path, boolean atMostOnce, boolean streaming) {
        this.path = path;
        this.atMostOnce = atMostOnce;
        this.streaming = streaming;
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
