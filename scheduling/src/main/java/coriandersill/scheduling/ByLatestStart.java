package coriandersill.scheduling;

import java.util.Comparator;
import java.util.List;

/** The request whose latest start on time comes first. */
record ByLatestStart() implements DispatchOrder {
    private static final Comparator<WaitingRequest> EARLIEST = ((Comparator<WaitingRequest>)
                    (first, second) -> Long.signum(first.latestStartNanos() - second.latestStartNanos()))
            .thenComparingLong(WaitingRequest::number);

    @Override
    public WaitingRequest first(List<WaitingRequest> waiting, OrderContext context) {
        return waiting.stream().min(EARLIEST).orElseThrow();
    }
}
