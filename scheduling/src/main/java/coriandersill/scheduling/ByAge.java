package coriandersill.scheduling;

import java.util.Comparator;
import java.util.List;

/** The request that has waited longest first. */
record ByAge() implements DispatchOrder {
    /** Compares differences, since the values of a monotonic clock may overflow. */
    private static final Comparator<WaitingRequest> OLDEST = ((Comparator<WaitingRequest>)
                    (first, second) -> Long.signum(first.arrivedNanos() - second.arrivedNanos()))
            .thenComparingLong(WaitingRequest::number);

    @Override
    public WaitingRequest first(List<WaitingRequest> waiting, OrderContext context) {
        return waiting.stream().min(OLDEST).orElseThrow();
    }
}
