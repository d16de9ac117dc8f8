package coriandersill.scheduling;

import java.util.List;

/** One of ten dispatches by age, all others by another order, so that no request waits without end. */
record GuaranteedFraction(ByAge byAge, DispatchOrder others) implements DispatchOrder {
    private static final int DISPATCHES_PER_GUARANTEED = 10;

    @Override
    public WaitingRequest first(List<WaitingRequest> waiting, OrderContext context) {
        boolean isGuaranteed = context.sinceOldest() >= DISPATCHES_PER_GUARANTEED - 1;
        return (isGuaranteed ? byAge : others).first(waiting, context);
    }
}
