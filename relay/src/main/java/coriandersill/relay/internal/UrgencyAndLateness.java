package coriandersill.relay.internal;

import java.time.Duration;
import java.util.OptionalInt;

/**
 * States the rank of a generation as its priority, and the last priority if its first event can no longer be on time.
 *
 * <p>A late generation gains nothing from an earlier start, while a stream that is on time becomes late when the engine
 * preempts it. All late generations have the same priority, so that an engine serves them by age.
 */
final class UrgencyAndLateness implements EngineRequestPriority {
    private static final int LATE_PRIORITY = 9;

    /** Ranks above this one share its priority, which is still before that of late generations. */
    private static final int MAX_ON_TIME_PRIORITY = LATE_PRIORITY - 1;

    @Override
    public OptionalInt of(CallPlan plan, Duration elapsed) {
        if (plan.urgency().isEmpty() || plan.service().engine().isEmpty()) {
            return OptionalInt.empty();
        }
        boolean late = elapsed.compareTo(plan.route().targetLatency()) >= 0;
        return OptionalInt.of(late ? LATE_PRIORITY : Math.min(plan.urgency().getAsInt(), MAX_ON_TIME_PRIORITY));
    }
}
