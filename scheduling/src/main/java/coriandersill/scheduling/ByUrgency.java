package coriandersill.scheduling;

import java.util.List;

/** The most urgent requests first, in another order among themselves. */
record ByUrgency(DispatchOrder amongEquals) implements DispatchOrder {
    @Override
    public WaitingRequest first(List<WaitingRequest> waiting, OrderContext context) {
        int mostUrgent =
                waiting.stream().mapToInt(WaitingRequest::urgency).min().orElseThrow();
        return amongEquals.first(
                waiting.stream()
                        .filter(request -> request.urgency() == mostUrgent)
                        .toList(),
                context);
    }
}
