package coriandersill.experiment;

import coriandersill.core.InstanceId;
import coriandersill.core.Ran;
import coriandersill.routing.RouteRequest;

/** The mutable state of one simulated call, over all its attempts. */
final class Call {
    final Arrival arrival;
    RouteRequest routeRequest;
    InstanceId instance;
    /** The number of the current attempt, starting at 1. */
    int attemptNumber = 1;

    /** The number of output tokens that the entry assumed when the call arrived. */
    int expectedOutputTokens;

    int generatedTokens;
    long dispatchedAtNanos;
    long firstTokenAtNanos;
    long lastTokenAtNanos;

    /** Whether an earlier attempt ran, according to the failures that the entry received. */
    Ran ranBefore = Ran.NO;

    /** Whether any attempt was submitted to an engine, even if the entry received a failure that says otherwise. */
    boolean submittedToEngine;

    Call(Arrival arrival) {
        this.arrival = arrival;
    }
}
