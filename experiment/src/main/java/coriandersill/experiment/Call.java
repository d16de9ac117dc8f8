package coriandersill.experiment;

import coriandersill.core.InstanceId;
import coriandersill.core.Ran;
import coriandersill.routing.RouteRequest;

/** The mutable state of one simulated call, over all its attempts. */
final class Call {
    final Arrival arrival;
    RouteRequest request;
    InstanceId instance;
    int attempt = 1;
    int expectedTokens;
    int tokens;
    long dispatchedAtNanos;
    long firstTokenAtNanos;
    long lastTokenAtNanos;

    /** Whether an earlier attempt ran, according to the failures that the entry received. */
    Ran ranBefore = Ran.NO;

    /** Whether the call was submitted to an engine in any attempt, whatever the entry was told. */
    boolean submittedToEngine;

    Call(Arrival arrival) {
        this.arrival = arrival;
    }
}
