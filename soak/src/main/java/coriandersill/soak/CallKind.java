package coriandersill.soak;

import java.time.Duration;

/** The kinds of calls that the load generator makes. */
enum CallKind {
    /** A plain call that may run at most once. */
    BOOK("/books/", true, false, 2_000),
    /** A plain call that may be repeated. */
    LOOK("/looks/", false, false, 2_000),
    /** A stream that may run at most once, but may continue on another engine from a copy of its state. */
    DRAFT("/drafts/", true, true, 15_000),
    /** A stream that another engine may continue by running the call again. */
    TAG("/tags/", false, true, 3_000);

    private final String path;
    private final boolean atMostOnce;
    private final boolean streaming;
    private final long maxAnswerMillis;

    CallKind(String path, boolean atMostOnce, boolean streaming, long maxAnswerMillis) {
        this.maxAnswerMillis = maxAnswerMillis;
        this.path = path;
        this.atMostOnce = atMostOnce;
        this.streaming = streaming;
    }

    String path() {
        return path;
    }

    /** The deadline over a kept connection, or the route's timeout if it is shorter. */
    Duration maxAnswerTime() {
        return Duration.ofMillis(maxAnswerMillis);
    }

    boolean atMostOnce() {
        return atMostOnce;
    }

    boolean streaming() {
        return streaming;
    }
}
