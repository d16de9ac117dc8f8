package coriandersill.bench.rollout;

/** The behaviour of a new version and the conditions of its rollout. */
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
