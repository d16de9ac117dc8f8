package coriandersill.bench.rollout;

/** The behaviour of a new version and the conditions of its rollout; the methods derive properties from the names. */
enum RolloutScenario {
    /** The new version behaves like the old one. */
    GOOD,
    /** Each cell has additional independent noise and bursts of failures. */
    GOOD_NOISY,
    /** Both versions have more errors and longer latencies for a time, from a cause outside of them. */
    GOOD_SHARED_CAUSE,
    /** The service has only 720 calls until the deadline. */
    GOOD_THIN,
    /** An availability zone is out of service for a time. */
    GOOD_ZONE_LEAVES,
    /** The new version has more errors from the start. */
    ERRORS_AT_ONCE,
    /** The new version has more errors from a random time on. */
    ERRORS_LATER,
    /** The new version has more errors once its traffic share has reached 0.3. */
    ERRORS_UNDER_LOAD,
    /** The new version has more errors on one of the routes. */
    ERRORS_ONE_ROUTE,
    /** The new version has longer latencies from the start. */
    LATENCY_AT_ONCE,
    /** The new version has longer latencies from a random time on. */
    LATENCY_LATER,
    /** The new version has longer latencies once its traffic share has reached 0.3. */
    LATENCY_UNDER_LOAD,
    /** The new version has longer latencies on one of the routes. */
    LATENCY_ONE_ROUTE;

    boolean isGood() {
        return name().startsWith("GOOD");
    }

    boolean hasErrors() {
        return name().startsWith("ERRORS");
    }

    boolean startsLater() {
        return name().endsWith("LATER");
    }

    boolean isOnlyUnderLoad() {
        return name().endsWith("UNDER_LOAD");
    }

    boolean isOnOneRoute() {
        return name().endsWith("ONE_ROUTE");
    }
}
