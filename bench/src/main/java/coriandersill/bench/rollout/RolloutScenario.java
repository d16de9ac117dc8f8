package coriandersill.bench.rollout;

/** What a new version is like, and what happens around it. */
enum RolloutScenario {
    GOOD,
    GOOD_NOISY,
    GOOD_SHARED_CAUSE,
    GOOD_THIN,
    GOOD_ZONE_LEAVES,
    ERRORS_AT_ONCE,
    ERRORS_LATER,
    ERRORS_UNDER_LOAD,
    ERRORS_ONE_ROUTE,
    LATENCY_AT_ONCE,
    LATENCY_LATER,
    LATENCY_UNDER_LOAD,
    LATENCY_ONE_ROUTE;

    boolean good() {
        return name().startsWith("GOOD");
    }

    boolean errors() {
        return name().startsWith("ERRORS");
    }

    boolean later() {
        return name().endsWith("LATER");
    }

    boolean underLoad() {
        return name().endsWith("UNDER_LOAD");
    }

    boolean oneRoute() {
        return name().endsWith("ONE_ROUTE");
    }
}
