package coriandersill.scheduling;

import java.util.List;

/** Determines which of several waiting requests is dispatched first. Implementations are stateless. */
@FunctionalInterface
public interface DispatchOrder {
    /** Returns the request that is dispatched first; {@code waiting} is not empty. */
    WaitingRequest first(List<WaitingRequest> waiting, OrderContext context);

    /**
     * Returns the order of the system: a tenth of the dispatches goes to the request that has waited longest. Of the
     * others, requests that can still be on time precede late ones, which are ordered by age. Those on time are ordered
     * by urgency, then by the shares of their workspaces, then by their latest start.
     */
    static DispatchOrder standard() {
        ByAge byAge = new ByAge();
        return new GuaranteedFraction(
                byAge, new OnTimeBeforeLate(new ByUrgency(new WithinShareFirst(new ByLatestStart())), byAge));
    }
}
