package coriandersill.scheduling;

import java.util.List;

/** Requests whose first event can still be on time before the others. */
record OnTimeBeforeLate(DispatchOrder amongOnTime, DispatchOrder amongLate) implements DispatchOrder {
    @Override
    public WaitingRequest first(List<WaitingRequest> waiting, OrderContext context) {
        List<WaitingRequest> onTime = waiting.stream()
                .filter(request -> request.isOnTime(context.nowNanos()))
                .toList();
        return onTime.isEmpty() ? amongLate.first(waiting, context) : amongOnTime.first(onTime, context);
    }
}
