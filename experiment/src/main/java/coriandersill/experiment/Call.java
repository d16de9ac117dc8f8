package coriandersill.experiment;

import coriandersill.core.InstanceId;
import coriandersill.core.Ran;
import coriandersill.routing.RouteRequest;

/** One call on its way through the model. */
final class Call {
    final Arrival arrival;
    RouteRequest request;
    InstanceId instance;
    int attempt = 1;
    int expectedTokens;
    int tokens;
    long dispatchedAt;
    long firstTokenAt;
    long lastTokenAt;

    /** Whether an earlier attempt ran, as far as the entry knows. */
    Ran ranBefore = Ran.NO;

    /** Whether an engine was given the call in any attempt. */
    boolean ran;

    Call(Arrival arrival) {
        this.arrival = arrival;
    }
}
