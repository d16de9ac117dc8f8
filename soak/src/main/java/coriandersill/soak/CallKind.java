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
    private final boolean once;
    private final boolean stream;

    CallKind(String path, boolean once, boolean stream) {
        this.path = path;
        this.once = once;
        this.stream = stream;
    }

    String path() {
        return path;
    }

    boolean once() {
        return once;
    }

    boolean stream() {
        return stream;
    }
}
